/**
 * Token buckets for targets that limit their rate. One entry keeps the bucket of a target for all
 * entries, so that together they stay within the limit whoever of them has the requests.
 */
import QuickLRU from 'quick-lru';
import type { Clock } from '../clock/clock.js';
import { createTokenBucket, type TokenBucket } from './token-bucket.js';

export interface TargetBuckets {
  /**
   * Takes a token for a request to a target with this limit and returns 0, or returns the
   * milliseconds until one is available.
   */
  take(target: string, limitPerS: number): number;
}

/** Targets tracked at once; those that were asked for least recently are evicted. */
const maxTargets = 4096;
/** Time in seconds whose tokens a bucket holds, besides the one that a request takes. */
const burstS = 0.5;
/** Longest wait in milliseconds that is returned, as the limit may have risen by then. */
const maxWaitMs = 2000;

const burstOf = (limitPerS: number) => 1 + burstS * limitPerS;

interface LimitedTarget {
  bucket: TokenBucket;
  limitPerS: number;
}

export function createTargetBuckets(clock: Clock): TargetBuckets {
  const targets = new QuickLRU<string, LimitedTarget>({ maxSize: maxTargets });

  function limitedTarget(target: string, limitPerS: number): LimitedTarget {
    const known = targets.get(target);
    if (known) return known;
    // Empty at first, as the requests before the limit was known have used it up.
    const created = {
      limitPerS, bucket: createTokenBucket(limitPerS, burstOf(limitPerS), clock.now(), 0),
    };
    targets.set(target, created);
    return created;
  }

  return {
    take(target, limitPerS) {
      const limited = limitedTarget(target, limitPerS);
      if (limited.limitPerS !== limitPerS) {
        limited.bucket.setRate(limitPerS, clock.now(), burstOf(limitPerS));
        limited.limitPerS = limitPerS;
      }
      return Math.min(maxWaitMs, limited.bucket.take(clock.now()));
    },
  };
}
