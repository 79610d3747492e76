/**
 * Rate limits of targets: a target in need states in its answers how many requests a second it
 * takes from all entries together, for as long as it says so.
 */
import QuickLRU from 'quick-lru';
import { incarnationOf, type ServingTarget } from './targets.js';

export interface TargetRateLimits {
  /**
   * Records what an answer of a target states, undefined for no limit; returns whether that differs
   * from its last answer.
   */
  record(target: ServingTarget, limitPerS: number | undefined): boolean;
  /** Requests per second that the target takes; undefined if it states no limit. */
  limitOf(target: ServingTarget): number | undefined;
}

/** Targets tracked at once; those that were asked for least recently are evicted. */
const maxTargets = 4096;

export function createTargetRateLimits(): TargetRateLimits {
  /** Requests per second, by incarnation. */
  const limits = new QuickLRU<string, number>({ maxSize: maxTargets });

  return {
    record(target, limitPerS) {
      const incarnation = incarnationOf(target);
      if (limits.get(incarnation) === limitPerS) return false;
      if (limitPerS === undefined) limits.delete(incarnation);
      else limits.set(incarnation, limitPerS);
      return true;
    },
    limitOf: (target) => limits.get(incarnationOf(target)),
  };
}
