/** Rate at which a resource starts work while work is queued; idle time is not counted. */

export interface ServiceRate {
  recordStart(cost: number, now: number): void;
  /** The queue is empty; the time until the next start is not measured. */
  recordIdle(now: number): void;
  /** Cost started per millisecond; undefined without a recent measurement. */
  perMs(now: number): number | undefined;
}

/** Windows shorter than this are not measured. */
const minWindowMs = 500;
/** Weight of the newest window in the exponential moving average. */
const smoothingFactor = 0.3;

/** `maxAgeMs` is the age from which the last measurement is ignored. */
export function createServiceRate(maxAgeMs = Infinity): ServiceRate {
  let windowStart: number | undefined;
  let windowCost = 0;
  let rate: number | undefined;
  let measuredAt = -Infinity;

  const perMs = (now: number) => (now - measuredAt <= maxAgeMs ? rate : undefined);

  function closeWindow(now: number) {
    if (windowStart === undefined || now - windowStart < minWindowMs) return;
    const measured = windowCost / (now - windowStart);
    const last = perMs(now);
    rate = last === undefined ? measured : last + smoothingFactor * (measured - last);
    measuredAt = now;
    windowStart = now;
    windowCost = 0;
  }

  return {
    recordStart(cost, now) {
      windowStart ??= now;
      closeWindow(now);
      windowCost += cost;
    },
    recordIdle(now) {
      closeWindow(now);
      windowStart = undefined;
      windowCost = 0;
    },
    perMs,
  };
}
