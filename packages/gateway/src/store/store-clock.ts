/** Estimates the store's clock from the times that its answers state. */
import type { Clock } from '@verbenashunt/core';

export interface StoreClock {
  /** Records the time that an answer states, also one that another entry passed on. */
  record(storeTime: number): void;
  /**
   * When the store's clock showed a time, on this process's clock; late by at most the shortest
   * transit time of an answer. -Infinity before the first answer.
   */
  toLocal(storeTime: number): number;
  /** Forgets all times, as a restored store may have another clock. */
  reset(): void;
}

/** Time in milliseconds after which an offset is estimated anew, as clocks drift apart. */
const windowMs = 60_000;

export function createStoreClock(clock: Clock): StoreClock {
  /** Largest offsets of the store's clock in this window and the one before it. */
  let offset = -Infinity;
  let earlierOffset = -Infinity;
  let windowEndsAt = clock.now() + windowMs;

  function startWindow() {
    earlierOffset = offset;
    offset = -Infinity;
    windowEndsAt = clock.now() + windowMs;
  }

  return {
    record(storeTime) {
      if (clock.now() >= windowEndsAt) startWindow();
      // An answer that took longer to arrive gives a smaller offset.
      offset = Math.max(offset, storeTime - clock.now());
    },
    toLocal(storeTime) {
      const best = Math.max(offset, earlierOffset);
      return best === -Infinity ? -Infinity : storeTime - best;
    },
    reset() {
      offset = -Infinity;
      earlierOffset = -Infinity;
    },
  };
}
