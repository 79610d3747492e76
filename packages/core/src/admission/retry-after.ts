/** Delay after which a refused caller is asked to retry. */

/** Minimum delay in milliseconds. */
const minRetryAfterMs = 1000;
/** Range in milliseconds over which the retries of callers that are refused at once are spread. */
const spreadMs = 2000;

export interface RetryAfterQuery {
  /** Predicted time in milliseconds until there is capacity for the request. */
  waitMs: number;
  priority: number;
  /** All priorities that requests of the service have; empty if unknown. */
  priorities: readonly number[];
  /** Random number in [0, 1). */
  share: number;
}

/**
 * Milliseconds until the caller retries. The spread is divided equally among the priorities, so
 * that more urgent callers retry first.
 */
export function staggeredRetryAfterMs({
  waitMs, priority, priorities, share,
}: RetryAfterQuery): number {
  const rank = priorities.filter((other) => other > priority).length;
  const levels = Math.max(rank + 1, priorities.length);
  return Math.round(Math.max(minRetryAfterMs, waitMs) + spreadMs * ((rank + share) / levels));
}
