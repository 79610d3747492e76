/**
 * Rows of targets lapse while the platform's store is away, as nobody can renew them, and come back
 * soon after it. Such a target is used on until it had the time to register again.
 */
import type { Clock } from '../clock/clock.js';
import type { ServingTarget } from './targets.js';

export interface LapseLimits {
  /** Time between two writes of a target's row in milliseconds. */
  heartbeatMs: number;
  /** Time after which a target that is known to be gone may receive nothing, in milliseconds. */
  leaveMs: number;
}

export interface LapseGrace {
  /** The store answers again, after this time without an answer. */
  regained(awayMs: number): void;
  /** Milliseconds for which a target whose row is gone is used on; 0 for one that is gone. */
  graceOf(target: ServingTarget): number;
}

/** Time in which living targets register again once the store is back, in milliseconds. */
const returnMs = 2000;
/** Part of the time to leave that is kept for requests on their way, in milliseconds. */
const marginMs = 200;
/**
 * Heartbeats without an answer from which on rows may have lapsed: a row lapses after three, of
 * which the first may have been due as the store went away.
 */
const minHeartbeats = 2;

export function createLapseGrace(clock: Clock, { heartbeatMs, leaveMs }: LapseLimits): LapseGrace {
  let until = -Infinity;
  return {
    regained(awayMs) {
      if (awayMs < minHeartbeats * heartbeatMs) return;
      until = clock.now() + Math.min(returnMs, leaveMs - marginMs);
    },
    graceOf: ({ draining }) => (draining ? 0 : Math.max(0, until - clock.now())),
  };
}
