/**
 * Rate limits of targets: a target in need states in its answers how many requests a second it
 * takes from all entries together, for as long as it says so.
 */
import QuickLRU from 'quick-lru';
import type { Clock } from '../clock/clock.js';
import { incarnationOf, type ServingTarget } from './targets.js';

export interface TargetRateLimits {
  /**
   * Records what an answer of a target states, undefined for no limit; returns whether that differs
   * from its last answer.
   */
  record(target: ServingTarget, limitPerS: number | undefined): boolean;
  /** Requests per second that the target takes; undefined if it states no limit. */
  limitOf(target: ServingTarget): number | undefined;
  /** Records that the target takes no further request for `ms` milliseconds. */
  hold(target: ServingTarget, ms: number): void;
  /** Milliseconds until a request to the target may be tried again; 0 if it may now. */
  heldMs(target: ServingTarget): number;
}

/** Targets tracked at once; those that were asked for least recently are evicted. */
const maxTargets = 4096;

export function createTargetRateLimits(clock: Clock): TargetRateLimits {
  /** Requests per second, by incarnation. */
  const limits = new QuickLRU<string, number>({ maxSize: maxTargets });
  /** When a request may be tried again, on the entry's clock, by incarnation. */
  const heldUntil = new QuickLRU<string, number>({ maxSize: maxTargets });

  return {
    record(target, limitPerS) {
      const incarnation = incarnationOf(target);
      if (limits.get(incarnation) === limitPerS) return false;
      if (limitPerS === undefined) {
        limits.delete(incarnation);
        heldUntil.delete(incarnation);
      } else limits.set(incarnation, limitPerS);
      return true;
    },
    limitOf: (target) => limits.get(incarnationOf(target)),
    hold(target, ms) {
      heldUntil.set(incarnationOf(target), clock.now() + ms);
    },
    heldMs: (target) => Math
      .max(0, (heldUntil.get(incarnationOf(target)) ?? -Infinity) - clock.now()),
  };
}
