/**
 * Concurrency that an agent grants to all entries together. It grows while it is used up and the
 * target answers operations quickly, and shrinks when operations wait for more than about one
 * iteration; the signal is the time of an operation against the shortest seen (as in TCP Vegas).
 */

export interface GrantOptions {
  initial: number;
  min: number;
  max: number;
}

export interface ConcurrencyGrant {
  readonly limit: number;
  /** A decode operation took this long for one layer, waiting included. */
  observe(msPerLayer: number): void;
  /** Adjusts the limit; called every `grantIntervalMs` with the requests held. */
  adjust(active: number): void;
}

export const grantIntervalMs = 250;

/** Ratio to the shortest time at which a batch is full and hardly anything waits. */
const wantedRatio = 3;
const minSamples = 8;
const growth = 1.1;
const shrink = 0.93;
/** Share of the limit in use from which it may grow. */
const usedShare = 0.85;
/** Growth of the shortest time per interval, so that an old one is forgotten. */
const forgetting = 1.0005;

export function createConcurrencyGrant({ initial, min, max }: GrantOptions): ConcurrencyGrant {
  let limit = initial;
  let shortest = Infinity;
  let sum = 0;
  let samples = 0;
  return {
    get limit() {
      return Math.round(limit);
    },
    observe(msPerLayer) {
      shortest = Math.min(shortest, msPerLayer);
      sum += msPerLayer;
      samples += 1;
    },
    adjust(active) {
      if (samples < minSamples || shortest <= 0) return;
      const ratio = sum / samples / shortest;
      const wanted = ratio > wantedRatio ? limit * shrink : limit * growth;
      if (ratio > wantedRatio || active >= limit * usedShare) {
        limit = Math.min(max, Math.max(min, wanted));
      }
      shortest *= forgetting;
      sum = 0;
      samples = 0;
    },
  };
}
