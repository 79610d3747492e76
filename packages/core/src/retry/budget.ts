/**
 * Retry budget: retries are a share of first tries, so that they cannot multiply the load of a
 * failing system (after the token-bucket budgets of Finagle).
 */
import type { Clock } from '../clock/clock.js';

export interface RetryBudgetOptions {
  /** Retries earned by each first try. */
  share: number;
  /** Retries that may be saved up. */
  burst: number;
  /** Retries earned by time alone, so that a quiet entry can retry. */
  perSecond: number;
}

export interface RetryBudget {
  /** Counts a first try. */
  deposit(): void;
  /** Takes one retry; false when the budget is spent. */
  withdraw(): boolean;
}

const millisecondsPerSecond = 1000;

export function createRetryBudget(clock: Clock, options: RetryBudgetOptions): RetryBudget {
  let balance = options.burst;
  let at = clock.now();

  function earn(amount: number) {
    balance = Math.min(options.burst, balance + amount);
  }

  return {
    deposit: () => earn(options.share),
    withdraw() {
      const now = clock.now();
      earn(((now - at) / millisecondsPerSecond) * options.perSecond);
      at = now;
      if (balance < 1) return false;
      balance -= 1;
      return true;
    },
  };
}

/** Milliseconds before a retry, counted from 0: exponential, full jitter, never past `leftMs`. */
export function retryDelayMs(retry: number, random: () => number, leftMs: number): number {
  const baseMs = 10;
  const maxMs = 500;
  return Math.min(leftMs, random() * Math.min(maxMs, baseMs * 2 ** retry));
}
