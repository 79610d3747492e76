/**
 * Retry budget of one service over a sliding window, shared by all entries without coordination per
 * request: each entry may use its part of a fixed allowance plus a ratio of its own requests.
 */
import type { Clock } from '../clock/clock.js';

export interface RetryLimits {
  /** Retries allowed per request. */
  ratio: number;
  /** Additional retries per window, for all entries together. */
  extra: number;
  windowMs: number;
}

export interface RetryWindowOptions {
  clock: Clock;
  /** Returns the current limits; settings may change them at run time. */
  limits(): RetryLimits;
  /** Returns the number of entries that share `extra`. */
  entries(): number;
}

export interface RetryWindow {
  /** Records a first attempt of a request to the service. */
  deposit(): void;
  /** Whether a retry is left; `isStarted` for a stream of which the caller has received a part. */
  canWithdraw(isStarted: boolean): boolean;
  /** Takes one retry from the budget; false when none is left. */
  withdraw(isStarted: boolean): boolean;
}

/** Share of the budget that is used; the rest covers entries that this one does not know yet. */
const usableShare = 0.8;

/** Share of the retries that is reserved for streams of which callers have received a part. */
const startedShare = 0.4;

/** Removes the times before `since`; `times` is sorted. */
function dropBefore(times: number[], since: number) {
  const first = times.findIndex((time) => time >= since);
  times.splice(0, first === -1 ? times.length : first);
}

export function createRetryWindow(options: RetryWindowOptions): RetryWindow {
  const { clock, limits } = options;
  const requests: number[] = [];
  const retries: number[] = [];

  function canWithdraw(isStarted: boolean): boolean {
    const { ratio, extra, windowMs } = limits();
    const since = clock.now() - windowMs;
    dropBefore(requests, since);
    dropBefore(retries, since);
    const share = extra / Math.max(1, options.entries());
    const allowed = usableShare * (share + ratio * requests.length);
    return retries.length + 1 <= allowed * (isStarted ? 1 : 1 - startedShare);
  }

  return {
    deposit() {
      dropBefore(requests, clock.now() - limits().windowMs);
      requests.push(clock.now());
    },
    canWithdraw,
    withdraw(isStarted) {
      if (!canWithdraw(isStarted)) return false;
      retries.push(clock.now());
      return true;
    },
  };
}
