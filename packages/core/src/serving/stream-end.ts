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
  /**
   * Whether another run has to show that the stream is whole: its answer began with a marked end,
   * or with a retry that is kept for this.
   */
  mustBeSettled: boolean;
  /** Silence between the last event and the end, in milliseconds. */
  silenceMs: number;
  /** Silence in milliseconds after which a stream counts as stalled. */
  stalledAfterMs: number;
}

/**
 * - `broken`: the stream has been broken off.
 * - `unsettled`: it may be whole or broken off, which only another run can tell.
 * - `whole_if_unharmed`: it counts as whole unless a target was lost. An end in order is the
 *   target's word, as with any response without a length (RFC 9112, section 8).
 */
export type UnframedEndMeaning = 'broken' | 'unsettled' | 'whole_if_unharmed';

export function meaningOfUnframedEnd({
  hasEvents, lastEventId, earlierEndId, mustBeSettled, silenceMs, stalledAfterMs,
}: UnframedEnd): UnframedEndMeaning {
  if (!hasEvents) return 'broken';
  // Two runs agree that no event follows.
  const isConfirmed = lastEventId !== undefined && lastEventId === earlierEndId;
  if (isConfirmed) return 'whole_if_unharmed';
  if (mustBeSettled) return 'unsettled';
  // The last event is followed by the end at once; a target ends a stream late that waits for a
  // stage it can't reach.
  return silenceMs < stalledAfterMs ? 'whole_if_unharmed' : 'broken';
}
