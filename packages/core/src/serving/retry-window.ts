/**
 * Budget for repeats of requests to one service, kept by all entries together without a message a
 * request: each takes its part of the fixed allowance and a ratio of the requests it took itself.
 */
import type { Clock } from '../clock/clock.js';

export interface RetryLimits {
  /** Repeats allowed for each first request. */
  ratio: number;
  /** Repeats in a window that all entries together may make beyond the ratio. */
  extra: number;
  windowMs: number;
}

export interface RetryWindowOptions {
  clock: Clock;
  /** Limits in force; settings may change them. */
  limits(): RetryLimits;
  /** Entries that share the allowance. */
  entries(): number;
}

export interface RetryWindow {
  /** A first request to the service. */
  deposit(): void;
  /** Whether a repeat is left; `isBegun` for a stream that its caller has in part. */
  has(isBegun: boolean): boolean;
  /** Takes one repeat; false when the window is spent. */
  withdraw(isBegun: boolean): boolean;
}

/** Share of the allowance that is used; the rest covers entries that are not yet known. */
const usedShare = 0.8;

/** Share of the repeats that is kept for streams that their callers have in part. */
const begunShare = 0.4;

/** Drops the times before `since`, which lie in order. */
function dropBefore(times: number[], since: number) {
  const first = times.findIndex((time) => time >= since);
  times.splice(0, first === -1 ? times.length : first);
}

export function createRetryWindow(options: RetryWindowOptions): RetryWindow {
  const { clock, limits } = options;
  const firsts: number[] = [];
  const repeats: number[] = [];

  function has(isBegun: boolean): boolean {
    const { ratio, extra, windowMs } = limits();
    const since = clock.now() - windowMs;
    dropBefore(firsts, since);
    dropBefore(repeats, since);
    const share = extra / Math.max(1, options.entries());
    const allowed = usedShare * (share + ratio * firsts.length);
    return repeats.length + 1 <= allowed * (isBegun ? 1 : 1 - begunShare);
  }

  return {
    deposit() {
      dropBefore(firsts, clock.now() - limits().windowMs);
      firsts.push(clock.now());
    },
    has,
    withdraw(isBegun) {
      if (!has(isBegun)) return false;
      repeats.push(clock.now());
      return true;
    },
  };
}
