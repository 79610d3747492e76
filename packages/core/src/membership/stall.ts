/** Own stalls: time in which this process did not run, which must not be blamed on a peer. */
import type { CancelTimer, Clock } from '../clock/clock.js';

/** Lateness of a timer in milliseconds that is ordinary. */
const slackMs = 50;

export interface StallMeter {
  /** Milliseconds of the time since the last call, beyond the interval, that were stalled. */
  measure(now: number): number;
}

/** Creates a meter for a caller that ticks every `intervalMs`. */
export function createStallMeter(now: number, intervalMs: number): StallMeter {
  let last = now;
  return {
    measure(at) {
      const late = at - last - intervalMs;
      last = at;
      return late > slackMs ? late : 0;
    },
  };
}

/**
 * Fires after `ms` in which this process ran: a timer that fires late is armed again, so that
 * what arrived during the stall is read first.
 */
export function afterAwake(clock: Clock, ms: number, callback: () => void): CancelTimer {
  let cancel: CancelTimer = () => {};
  function arm(waitMs: number) {
    const at = clock.now() + waitMs;
    cancel = clock.after(waitMs, () => {
      const late = clock.now() - at;
      if (late > slackMs) arm(Math.min(late, ms));
      else callback();
    });
  }
  arm(ms);
  return () => cancel();
}
