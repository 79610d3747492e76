/**
 * Grace period for targets whose rows expired during an outage of the platform's store. Targets
 * can't renew their rows during the outage, so the rows lapse although the targets are alive. Such
 * a target stays in use until it has had time to register again.
 */
import type { Clock } from '../clock/clock.js';
import type { ServingTarget } from './targets.js';

export interface LapseGraceOptions {
  /** Interval in milliseconds at which a target renews its row. */
  heartbeatMs: number;
  /** Time in milliseconds within which an entry must stop sending requests to a removed target. */
  leaveMs: number;
}

export interface LapseGrace {
  /** Records that the store answers again, after `awayMs` without an answer. */
  storeRecovered(awayMs: number): void;
  /**
   * Milliseconds for which a target stays in use after its row is gone; 0 when it was draining or
   * no outage explains the missing row.
   */
  graceMsOf(target: ServingTarget): number;
}

/** Time in milliseconds within which live targets register again after an outage of the store. */
const reregistrationMs = 2000;
/** Part of `leaveMs` that is reserved for requests already being sent, in milliseconds. */
const inFlightMarginMs = 200;
/**
 * Length in heartbeats of the shortest outage in which rows may have lapsed. A row lapses after
 * three missed heartbeats, and the first may have been due just as the outage began.
 */
const minOutageHeartbeats = 2;

export function createLapseGrace(
  clock: Clock,
  { heartbeatMs, leaveMs }: LapseGraceOptions,
): LapseGrace {
  let graceEnd = -Infinity;
  return {
    storeRecovered(awayMs) {
      if (awayMs < minOutageHeartbeats * heartbeatMs) return;
      graceEnd = clock.now() + Math.min(reregistrationMs, leaveMs - inFlightMarginMs);
    },
    graceMsOf: ({ draining }) => (draining ? 0 : Math.max(0, graceEnd - clock.now())),
  };
}
