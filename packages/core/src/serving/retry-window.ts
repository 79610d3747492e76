/**
 * Retry budget of one service over a sliding window, shared by all entries without coordination per
 * request: each entry may use its part of a fixed allowance plus a ratio of its own requests, less
 * what it lends to others, plus what it borrows.
 */
import type { Clock } from '../clock/clock.js';
import {
  createRetryLoans, grantMs, offerMs, type RetryReport,
} from './retry-loans.js';

export interface RetryLimits {
  /** Retries allowed per request. */
  ratio: number;
  /** Additional retries per window, for all entries together. */
  extra: number;
  windowMs: number;
  /** Share, from 0 to 1, of its unused allowance that an entry lends; 0 by default. */
  lentShare?: number;
}

export interface RetryWindowOptions {
  clock: Clock;
  /** Returns the current limits; settings may change them at run time. */
  limits(): RetryLimits;
  /** Returns the number of entries that share `extra`. */
  entries(): number;
  /**
   * Whether an earlier process of this entry may have used or lent the entry's part of `extra`
   * within the window; false by default.
   */
  isNew?(): boolean;
  /** Called when a retry was made or denied. */
  onRetry?(): void;
}

/** Retries of a service that an entry made and was refused in the window. */
export interface RetryCounts {
  requests: number;
  retries: number;
  denied: number;
}

export interface RetryWindow {
  /** Records a first attempt of a request to the service. */
  deposit(): void;
  /** Whether a retry is left; `isStarted` for a stream of which the caller has received a part. */
  canWithdraw(isStarted: boolean): boolean;
  /** Takes one retry from the budget; false when none is left. */
  withdraw(isStarted: boolean): boolean;
  /** Keeps one retry back until `release`; false while retries are scarce. */
  reserve(): boolean;
  /** Gives a reserved retry back to the budget, where it may be withdrawn. */
  release(): void;
  counts(): RetryCounts;
  /** Retries that this entry may have in the window now. */
  allowance(): number;
  /** Whether most of the allowance is used or reserved, or one was denied in the last second. */
  isScarce(): boolean;
  /**
   * Returns the report for a keeper. The amount in it is locked at once, so it may be sent to this
   * keeper only; with `mayLend` false, nothing is lent.
   */
  report(keeper: string, mayLend: boolean): RetryReport;
  /** Takes over a keeper's grant; `askedAt` is when the report that it answers was made. */
  grant(keeper: string, amount: number, askedAt: number): void;
}

/** Share of the budget that is used; the rest covers entries that this one does not know yet. */
const usableShare = 0.8;

/** Share of the retries that is reserved for streams of which callers have received a part. */
const startedShare = 0.4;

/** Share of its allowance that an entry may use before it asks for more at once. */
const scarceShare = 0.5;

/** Retries that an entry wants, as a multiple of those that it made or was denied. */
const wantedFactor = 1.5;

/** Time in milliseconds after a denied retry for which retries are scarce. */
const scarceMs = 1000;

/** Removes the times before `since`; `times` is sorted. */
function dropBefore(times: number[], since: number) {
  const first = times.findIndex((time) => time >= since);
  times.splice(0, first === -1 ? times.length : first);
}

export function createRetryWindow(options: RetryWindowOptions): RetryWindow {
  const { clock, limits } = options;
  const loans = createRetryLoans();
  const requests: number[] = [];
  /** Retries made with the entry's own allowance. */
  const ownRetries: number[] = [];
  const denied: number[] = [];
  let reserved = 0;

  function dropOld() {
    const since = clock.now() - limits().windowMs;
    [requests, ownRetries, denied].forEach((times) => dropBefore(times, since));
  }

  /** Allowance from `extra` and a number of requests, lent amounts included. */
  function allowedFor(requestCount: number): number {
    const { ratio, extra } = limits();
    const own = options.isNew?.() ? 0 : extra / Math.max(1, options.entries());
    return usableShare * (own + ratio * requestCount);
  }

  /** Retries that the entry's own allowance leaves for its use. */
  const ownLimit = () => Math.max(0, allowedFor(requests.length)
    - loans.locked(clock.now(), limits().windowMs));

  const usedRetries = () => ownRetries.length + loans.borrowed(clock.now(), limits().windowMs);

  const hasOwn = () => ownRetries.length + reserved + 1 <= ownLimit();

  function allowance(): number {
    dropOld();
    return ownLimit() + loans.allowed(clock.now(), limits().windowMs);
  }

  function canWithdraw(isStarted: boolean): boolean {
    const allowed = allowance();
    if (usedRetries() + reserved + 1 > allowed * (isStarted ? 1 : 1 - startedShare)) return false;
    return hasOwn() || loans.canBorrow(clock.now(), limits().windowMs);
  }

  /** Requests that are still in the window when a retry is made with what is lent now. */
  function lastingRequests(): number {
    const since = clock.now() - limits().windowMs + offerMs + grantMs;
    return requests.filter((time) => time >= since).length;
  }

  /** Amount that the entry can lend to a keeper, which has some of it already. */
  function lendable(keeper: string): number {
    if (options.isNew?.() || !Number.isFinite(options.entries())) return 0;
    const elsewhere = loans.locked(clock.now(), limits().windowMs, keeper);
    const unused = allowedFor(lastingRequests()) - ownRetries.length - reserved - elsewhere;
    return Math.max(0, (limits().lentShare ?? 0) * unused);
  }

  /** Retries that the entry wants to borrow from a keeper, beyond what it has from elsewhere. */
  function wantedFrom(keeper: string): number {
    const now = clock.now();
    const { windowMs } = limits();
    const wanted = wantedFactor * (usedRetries() + denied.length);
    return Math.max(0, wanted - ownLimit() - loans.allowed(now, windowMs, keeper));
  }

  function isScarce(): boolean {
    const isDenied = denied.length > 0 && denied.at(-1)! > clock.now() - scarceMs;
    return isDenied || usedRetries() + reserved > scarceShare * allowance();
  }

  return {
    deposit() {
      dropOld();
      requests.push(clock.now());
    },
    canWithdraw,
    withdraw(isStarted) {
      const now = clock.now();
      const isLeft = canWithdraw(isStarted);
      if (!isLeft) denied.push(now);
      else if (hasOwn()) ownRetries.push(now);
      else loans.borrow(now, limits().windowMs);
      options.onRetry?.();
      return isLeft;
    },
    reserve() {
      const isLeft = !isScarce() && hasOwn();
      if (isLeft) reserved += 1;
      return isLeft;
    },
    release() {
      reserved -= 1;
    },
    counts() {
      dropOld();
      return { requests: requests.length, retries: usedRetries(), denied: denied.length };
    },
    allowance,
    isScarce,
    report(keeper, mayLend) {
      dropOld();
      const now = clock.now();
      const lent = mayLend ? lendable(keeper) : 0;
      loans.lend(keeper, lent, now);
      return {
        lent,
        borrowed: loans.borrowed(now, limits().windowMs, keeper),
        wanted: wantedFrom(keeper),
      };
    },
    grant: loans.grant,
  };
}
