/**
 * Retry budget: limits retries to a share of first attempts, so that they cannot multiply the load
 * on a failing system. Modelled on Finagle's token-bucket retry budgets.
 */
import type { Clock } from '../clock/clock.js';

export interface RetryBudgetOptions {
  /** Retries added to the budget per first attempt. */
  share: number;
  /** Maximum balance of the budget, in retries; also its initial balance. */
  burst: number;
  /** Retries added per second regardless of traffic, so that an idle entry can retry. */
  perSecond: number;
}

export interface RetryBudget {
  /** Counts a first attempt. */
  deposit(): void;
  /** Takes one retry from the budget; returns false when less than one is left. */
  withdraw(): boolean;
}

const millisecondsPerSecond = 1000;

export function createRetryBudget(clock: Clock, options: RetryBudgetOptions): RetryBudget {
  let balance = options.burst;
  let refilledAt = clock.now();

  function credit(amount: number) {
    balance = Math.min(options.burst, balance + amount);
  }

  return {
    deposit: () => credit(options.share),
    withdraw() {
      const now = clock.now();
      credit(((now - refilledAt) / millisecondsPerSecond) * options.perSecond);
      refilledAt = now;
      if (balance < 1) return false;
      balance -= 1;
      return true;
    },
  };
}

/** Exponential backoff with full jitter, at most `leftMs`; the first retry has index 0. */
export function retryDelayMs(retryIndex: number, random: () => number, leftMs: number): number {
  const baseMs = 10;
  const maxMs = 500;
  return Math.min(leftMs, random() * Math.min(maxMs, baseMs * 2 ** retryIndex));
}
