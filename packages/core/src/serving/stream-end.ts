/**
 * Decides what the end of a stream means that came without a length or chunked encoding. Its target
 * marks no end: the connection is closed in the same way after the last event and after a crash.
 */

/** What is known when the connection was closed in order after a whole event, or without any. */
export interface UnframedEnd {
  /** Whether the caller has received an event, of an earlier request that it resumes included. */
  hasEvents: boolean;
  /** Id of the last event that the caller has received; undefined if it has none with an id. */
  lastEventId: number | undefined;
  /** The same when an earlier run of the stream ended in this way; undefined if none did. */
  earlierEndId: number | undefined;
  /** Whether the end of the caller's answer is marked, by a length or chunked encoding. */
  isAnswerFramed: boolean;
}

/**
 * - `broken`: the stream has been broken off.
 * - `unsettled`: it may be whole or broken off, which only another run can tell.
 * - `whole_if_unharmed`: the caller's answer may end in the same way, unless a target was lost.
 */
export type UnframedEndMeaning = 'broken' | 'unsettled' | 'whole_if_unharmed';

export function meaningOfUnframedEnd({
  hasEvents, lastEventId, earlierEndId, isAnswerFramed,
}: UnframedEnd): UnframedEndMeaning {
  if (!hasEvents) return 'broken';
  // Two runs agree that no event follows.
  const isConfirmed = lastEventId !== undefined && lastEventId === earlierEndId;
  return isConfirmed || !isAnswerFramed ? 'whole_if_unharmed' : 'unsettled';
}
