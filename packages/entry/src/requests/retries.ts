/** The retry budget shared by all requests of an entry; only the entry retries requests. */
import { createRetryBudget, type Clock } from '@verbenashunt/core';

export type { RetryBudget } from '@verbenashunt/core';

const share = 0.2;
const burst = 50;
const perSecond = 2;

export const createEntryRetryBudget = (clock: Clock) => createRetryBudget(clock, {
  share, burst, perSecond,
});
