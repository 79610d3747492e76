/** The retry budget that all requests of an entry share; no other layer retries. */
import { createRetryBudget, type Clock } from '@verbenashunt/core';

export type { RetryBudget } from '@verbenashunt/core';

const share = 0.2;
const burst = 50;
const perSecond = 2;

export const createEntryRetries = (clock: Clock) => createRetryBudget(clock, {
  share, burst, perSecond,
});
