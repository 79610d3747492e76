/** Rate at which a backlogged resource takes on work, measured over its busy time. */

export interface ServiceRate {
  /** Work was started. */
  add(cost: number, now: number): void;
  /** Nothing waits; the time until the next work does not count. */
  idle(now: number): void;
  /** Cost per millisecond; undefined until it is known. */
  perMs(): number | undefined;
}

const windowMs = 500;
const smoothing = 0.3;

export function createServiceRate(): ServiceRate {
  let startedAt: number | undefined;
  let cost = 0;
  let rate: number | undefined;

  function close(now: number) {
    if (startedAt === undefined || now - startedAt < windowMs) return;
    const measured = cost / (now - startedAt);
    rate = rate === undefined ? measured : rate + smoothing * (measured - rate);
    startedAt = now;
    cost = 0;
  }

  return {
    add(work, now) {
      startedAt ??= now;
      close(now);
      cost += work;
    },
    idle(now) {
      close(now);
      startedAt = undefined;
      cost = 0;
    },
    perMs: () => rate,
  };
}
