/**
 * Loans of retries between entries. An entry lends a part of its unused allowance to a keeper, an
 * entry that grants it to those that want retries. Nothing is used twice: what an entry has lent
 * stays locked for as long as a retry that was made with it can be in the window. Entries lend only
 * if `RetryLimits.lentShare` is above 0.
 *
 * Bound, for each service, however many entries die, freeze or are disconnected, and whichever
 * messages are lost, late or doubled: at the time of each retry, the retries of all entries in the
 * window before are at most the sum of the entries' own allowances, 0.8 x (extra + ratio x
 * requests). The remaining 0.2 covers what is not exact: each entry that the others do not know yet
 * adds up to 0.8 x extra / entries, and a request may have left the window that paid for a retry in
 * it, if the rate of requests falls.
 */

/** Time in milliseconds, from the request for it on, in which a grant may be used. */
export const grantMs = 1500;
/** Greatest age in milliseconds of an offer from which a keeper grants retries. */
export const offerMs = 2000;
/** Time in milliseconds for which a lent amount stays locked after the window's length. */
export const lockMs = offerMs + grantMs;

interface TimedAmount {
  amount: number;
  at: number;
}

/** What an entry reports to a keeper about its retries of one service. */
export interface RetryReport {
  /** Amount that the keeper may grant to others. */
  lent: number;
  /** Retries in the window that the entry made with this keeper's grants. */
  borrowed: number;
  /** Retries in the window that it wants to borrow from this keeper. */
  wanted: number;
}

/** Largest amount since `since`; drops the amounts that no longer matter. */
function largestSince(amounts: TimedAmount[], since: number): number {
  while (amounts.length > 0 && amounts[0]!.at < since) amounts.shift();
  return amounts.reduce((most, { amount }) => Math.max(most, amount), 0);
}

/** Adds the newest amount; drops earlier ones that are not larger, as it covers them. */
function pushAmount(amounts: TimedAmount[], next: TimedAmount) {
  while (amounts.length > 0 && amounts.at(-1)!.amount <= next.amount) amounts.pop();
  amounts.push(next);
}

interface KeeperAccount {
  lent: TimedAmount[];
  granted: number;
  grantedUntil: number;
  /** Times of the retries made with its grants. */
  borrowed: number[];
}

/** An entry's account of what it lends to keepers and borrows from them, for one service. */
export interface RetryLoans {
  /** Amount that may not be used here; `except` leaves out one keeper. */
  locked(now: number, windowMs: number, except?: string): number;
  /**
   * Most retries in the window that grants allow, or have allowed if they ended; `except` leaves
   * out one keeper.
   */
  allowed(now: number, windowMs: number, except?: string): number;
  /** Retries in the window that were made with grants. */
  borrowed(now: number, windowMs: number, keeper?: string): number;
  /** Makes a retry with a grant in force; false if none is left. */
  borrow(now: number, windowMs: number): boolean;
  canBorrow(now: number, windowMs: number): boolean;
  /** Locks an amount before it is offered to a keeper. */
  lend(keeper: string, amount: number, now: number): void;
  /** Replaces a keeper's grant; `askedAt` is when the request for it was sent. */
  grant(keeper: string, amount: number, askedAt: number): void;
}

export function createRetryLoans(): RetryLoans {
  const accounts = new Map<string, KeeperAccount>();

  function accountOf(keeper: string): KeeperAccount {
    const known = accounts.get(keeper);
    if (known) return known;
    const created = {
      lent: [], granted: 0, grantedUntil: -Infinity, borrowed: [],
    };
    accounts.set(keeper, created);
    return created;
  }

  function borrowedOf({ borrowed }: KeeperAccount, since: number): number {
    while (borrowed.length > 0 && borrowed[0]! < since) borrowed.shift();
    return borrowed.length;
  }

  const grantOf = ({ granted, grantedUntil }: KeeperAccount, now: number) => (
    now < grantedUntil ? granted : 0);

  const isUnused = (account: KeeperAccount, now: number) => account.lent.length === 0
    && account.borrowed.length === 0 && account.grantedUntil <= now;

  /** Removes the accounts without lent amounts, borrowed retries or a grant in force. */
  function prune(now: number) {
    [...accounts].filter(([, account]) => isUnused(account, now))
      .forEach(([keeper]) => accounts.delete(keeper));
  }

  const findLender = (now: number, windowMs: number) => [...accounts.values()]
    .find((account) => borrowedOf(account, now - windowMs) + 1 <= grantOf(account, now));

  return {
    locked: (now, windowMs, except) => [...accounts]
      .filter(([keeper]) => keeper !== except)
      .reduce((sum, [, { lent }]) => sum + largestSince(lent, now - windowMs - lockMs), 0),
    allowed: (now, windowMs, except) => [...accounts]
      .filter(([keeper]) => keeper !== except)
      .reduce((sum, [, account]) => sum
        + Math.max(grantOf(account, now), borrowedOf(account, now - windowMs)), 0),
    borrowed(now, windowMs, keeper) {
      prune(now);
      return [...accounts].filter(([other]) => keeper === undefined || other === keeper)
        .reduce((sum, [, account]) => sum + borrowedOf(account, now - windowMs), 0);
    },
    borrow(now, windowMs) {
      const lender = findLender(now, windowMs);
      lender?.borrowed.push(now);
      return lender !== undefined;
    },
    canBorrow: (now, windowMs) => findLender(now, windowMs) !== undefined,
    lend(keeper, amount, now) {
      if (amount > 0) pushAmount(accountOf(keeper).lent, { amount, at: now });
    },
    grant(keeper, amount, askedAt) {
      const grantedUntil = askedAt + grantMs;
      const account = accountOf(keeper);
      if (grantedUntil < account.grantedUntil) return;
      Object.assign(account, { granted: amount, grantedUntil });
    },
  };
}

/** A report as a keeper receives it. */
export interface ReceivedReport extends RetryReport {
  /** Process of the entry. */
  from: string;
  /**
   * Time on the keeper's clock after which the report was made, from a stamp that the entry
   * returns; undefined if it returned none.
   */
  stampedAt: number | undefined;
}

interface Borrower {
  lent: number;
  borrowed: number;
  wanted: number;
  /** When the last stamped report was made, at the earliest. */
  stampedAt: number;
  heardAt: number;
  grants: TimedAmount[];
}

/** A keeper's account of the retries of one service. */
export interface RetryBank {
  /** Records a report and returns the amount granted in answer to it. */
  exchange(report: ReceivedReport, now: number, windowMs: number): number;
  /** Amount that entries lend now. */
  lent(now: number): number;
}

/** Least part of the lent amount that is granted to all entries alike. */
const minEvenShare = 0.1;

export function createRetryBank(): RetryBank {
  const borrowers = new Map<string, Borrower>();

  const isFresh = ({ stampedAt }: Borrower, now: number) => now - stampedAt <= offerMs;

  const lentNow = (now: number) => [...borrowers.values()]
    .filter((borrower) => isFresh(borrower, now))
    .reduce((sum, { lent }) => sum + lent, 0);

  /**
   * Most retries that a borrower has in the window now or until its grants end: those it reported,
   * or as many as a grant allowed that was in force at the time of the report or later.
   */
  function outstanding({ borrowed, grants, stampedAt }: Borrower, now: number, windowMs: number) {
    const since = Math.max(stampedAt, now - windowMs) - grantMs;
    return Math.max(borrowed, largestSince(grants, since));
  }

  function prune(now: number, windowMs: number) {
    [...borrowers].filter(([, { heardAt }]) => now - heardAt > windowMs + grantMs)
      .forEach(([from]) => borrowers.delete(from));
  }

  function record({ from, stampedAt, ...report }: ReceivedReport, now: number): Borrower {
    const borrower = borrowers.get(from) ?? {
      lent: 0, borrowed: 0, wanted: 0, stampedAt: -Infinity, heardAt: now, grants: [],
    };
    borrowers.set(from, borrower);
    Object.assign(borrower, { heardAt: now, wanted: report.wanted });
    if (stampedAt !== undefined && stampedAt >= borrower.stampedAt) {
      Object.assign(borrower, { lent: report.lent, borrowed: report.borrowed, stampedAt });
    }
    return borrower;
  }

  return {
    lent: lentNow,
    exchange(report, now, windowMs) {
      prune(now, windowMs);
      const borrower = record(report, now);
      const heard = [...borrowers.values()].filter(({ heardAt }) => now - heardAt <= offerMs);
      const wanted = heard.reduce((sum, other) => sum + other.wanted, 0);
      const lent = lentNow(now);
      const forWanted = Math.min(wanted, lent * (1 - minEvenShare));
      const others = [...borrowers.values()].filter((other) => other !== borrower)
        .reduce((sum, other) => sum + outstanding(other, now, windowMs), 0);
      const share = (lent - forWanted) / heard.length
        + (wanted > 0 ? forWanted * (borrower.wanted / wanted) : 0);
      const amount = Math.max(0, Math.min(share, lent - others));
      pushAmount(borrower.grants, { amount, at: now });
      return amount;
    },
  };
}
