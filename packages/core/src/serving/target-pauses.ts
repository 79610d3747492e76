/**
 * Pauses that targets ask for: a target that refuses a request may state for how long it wants no
 * more requests from this entry. A pause ends early if the target restarts.
 */
import QuickLRU from 'quick-lru';
import type { Clock } from '../clock/clock.js';
import { incarnationOf, type ServingTarget } from './targets.js';

export interface TargetPauses {
  /** Records that a target wants no requests for `ms` milliseconds. */
  pause(target: ServingTarget, ms: number): void;
  /** Milliseconds until the target accepts requests again; 0 if it does now. */
  remainingMs(target: ServingTarget): number;
  isPaused(target: ServingTarget): boolean;
}

/** Targets tracked at once; the least recently paused ones are evicted. */
const maxTargets = 4096;

export function createTargetPauses(clock: Clock): TargetPauses {
  /** End of each pause on the entry's clock, by incarnation. */
  const ends = new QuickLRU<string, number>({ maxSize: maxTargets });

  const remainingMs = (target: ServingTarget) => Math
    .max(0, (ends.get(incarnationOf(target)) ?? -Infinity) - clock.now());

  return {
    pause(target, ms) {
      ends.set(incarnationOf(target), clock.now() + Math.max(ms, remainingMs(target)));
    },
    remainingMs,
    isPaused: (target) => remainingMs(target) > 0,
  };
}
