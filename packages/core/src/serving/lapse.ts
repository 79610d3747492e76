/**
 * Grace period for targets whose rows are missing through no fault of theirs: they expired during
 * an outage of the platform's store, in which targets can't renew them, or the store was restored
 * from a copy that is older than the row. Such a target stays in use until it has had time to
 * register again.
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
  /** Records that the store was restored from an older copy. */
  storeRestored(): void;
  /**
   * Milliseconds for which a target stays in use after its row is gone; 0 when it was draining or
   * neither an outage nor a restoration explains the missing row.
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

  function startGrace() {
    graceEnd = clock.now() + Math.min(reregistrationMs, leaveMs - inFlightMarginMs);
  }

  return {
    storeRecovered(awayMs) {
      if (awayMs >= minOutageHeartbeats * heartbeatMs) startGrace();
    },
    storeRestored: startGrace,
    graceMsOf: ({ draining }) => (draining ? 0 : Math.max(0, graceEnd - clock.now())),
  };
}
