/**
 * Bounds the memory of the requests that a process receives or holds, over all its connections. It
 * answers clients that send much, or very slowly, and never complete their requests: once all
 * together hold more than the limit, those give way that have held most for longest.
 */

/** What one request, or the beginning of one, holds. */
export interface MemoryAccount {
  /**
   * Sets the bytes held, before they are. Over the limit, accounts that can give way do so, this
   * one included; returns false if it did.
   */
  hold(bytes: number): boolean;
  /** Keeps what is held until it is closed: the account no longer gives way to others. */
  keep(): void;
  /** Bytes held. */
  readonly held: number;
  close(): void;
}

export interface MemoryBudget {
  /** Bytes held by all accounts. */
  readonly held: number;
  /**
   * Opens an account that holds nothing; `giveWay` is called at most once, and has to end what the
   * account is for. The account is closed then.
   */
  open(giveWay: () => void): MemoryAccount;
}

export interface MemoryBudgetOptions {
  /** Maximum number of bytes held by all accounts together; a single one may hold more. */
  limitBytes: number;
  /** Monotonic time in milliseconds. */
  now?(): number;
}

interface Holding {
  held: number;
  readonly since: number;
  readonly giveWay: () => void;
}

/** Milliseconds added to the age of each holding, so that size counts among those just begun. */
const minAgeMs = 1;

export function createMemoryBudget({
  limitBytes, now = () => performance.now(),
}: MemoryBudgetOptions): MemoryBudget {
  /** Holdings that can give way. */
  const evictable = new Set<Holding>();
  let total = 0;
  let accounts = 0;

  /** The holding with the largest product of size and age. */
  function largestOverTime(): Holding | undefined {
    const time = now();
    const costOf = ({ held, since }: Holding) => held * (time - since + minAgeMs);
    let costliest: Holding | undefined;
    let largest = 0;
    evictable.forEach((holding) => {
      const cost = costOf(holding);
      if (cost <= largest) return;
      largest = cost;
      costliest = holding;
    });
    return costliest;
  }

  /** Makes holdings give way until the limit is kept, or none is left that can. */
  function enforceLimit() {
    while (total > limitBytes && accounts > 1) {
      const holding = largestOverTime();
      if (!holding) return;
      evictable.delete(holding);
      total -= holding.held;
      holding.held = 0;
      accounts -= 1;
      holding.giveWay();
    }
  }

  return {
    get held() {
      return total;
    },
    open(giveWay) {
      let isOpen = true;
      const holding: Holding = {
        held: 0,
        since: now(),
        giveWay() {
          isOpen = false;
          giveWay();
        },
      };
      evictable.add(holding);
      accounts += 1;
      return {
        hold(bytes) {
          if (!isOpen) return false;
          total += bytes - holding.held;
          holding.held = bytes;
          if (total > limitBytes) enforceLimit();
          return isOpen;
        },
        keep() {
          evictable.delete(holding);
        },
        get held() {
          return holding.held;
        },
        close() {
          if (!isOpen) return;
          isOpen = false;
          evictable.delete(holding);
          total -= holding.held;
          holding.held = 0;
          accounts -= 1;
        },
      };
    },
  };
}
