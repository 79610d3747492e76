/**
 * Detects stalls: periods in which this process did not run, for example because it was suspended.
 * They must not count as silence of a peer.
 */
import type { CancelTimer, Clock } from '../clock/clock.js';

/** Timers that fire late by up to this many milliseconds do not count as stalled. */
const toleratedLatenessMs = 50;

export interface StallMeter {
  /** Milliseconds by which this call is later than the interval; 0 within the tolerance. */
  measure(now: number): number;
}

/** Creates a meter for a caller that calls `measure` every `intervalMs`. */
export function createStallMeter(now: number, intervalMs: number): StallMeter {
  let last = now;
  return {
    measure(at) {
      const late = at - last - intervalMs;
      last = at;
      return late > toleratedLatenessMs ? late : 0;
    },
  };
}

/**
 * Runs the callback once this process has run for `ms`. A timer that fires late is armed again, so
 * that data received during the stall is processed before the callback.
 */
export function afterExcludingStalls(clock: Clock, ms: number, callback: () => void): CancelTimer {
  let cancel: CancelTimer = () => {};
  function arm(waitMs: number) {
    const at = clock.now() + waitMs;
    cancel = clock.after(waitMs, () => {
      const late = clock.now() - at;
      if (late > toleratedLatenessMs) arm(Math.min(late, ms));
      else callback();
    });
  }
  arm(ms);
  return () => cancel();
}
