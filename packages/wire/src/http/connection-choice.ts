/** Chooses which connection is closed for a new one when there are as many as may be open. */

/** What is known of an open connection. */
export interface ConnectionActivity {
  /** When it was opened, or last had the head of a request or the end of an answer; in ms. */
  lastProgressAt: number;
  /** Whether a request that was received on it waits for its answer, or for the rest of it. */
  isAnswerDue: boolean;
}

/**
 * Time in milliseconds that a connection has for its next request before it may be closed for
 * another; callers use a new one at once.
 */
const minIdleMs = 1000;

/**
 * Returns the connection that has been without progress for longest, of those on which no answer is
 * due; undefined if none may be closed. Answers clients that open many connections and keep them.
 */
export function chooseToClose<T>(
  connections: Iterable<readonly [T, ConnectionActivity]>,
  now: number,
): T | undefined {
  let chosen: T | undefined;
  let longestSince = now - minIdleMs;
  Array.from(connections).forEach(([connection, { lastProgressAt, isAnswerDue }]) => {
    if (isAnswerDue || lastProgressAt > longestSince) return;
    chosen = connection;
    longestSince = lastProgressAt;
  });
  return chosen;
}
