/** The retry budget of one service over all entries, in any window. */
import { expect, test } from 'vitest';
import { createRetryWindow, ManualClock } from '@verbenashunt/core';

const limits = { ratio: 0.2, extra: 100, windowMs: 10_000 };

function take(entries: number, requestsPerTick: number, ticks: number) {
  const clock = new ManualClock();
  const windows = Array.from({ length: entries }, () => createRetryWindow({
    clock, limits: () => limits, entries: () => entries,
  }));
  const repeats: number[] = [];
  Array.from({ length: ticks }).forEach(() => {
    windows.forEach((window) => {
      Array.from({ length: requestsPerTick }).forEach(() => window.deposit());
      Array.from({ length: 50 }).forEach(() => {
        if (window.withdraw(true)) repeats.push(clock.now());
      });
    });
    clock.advance(100);
  });
  return repeats;
}

/** Most repeats in any window. */
const busiest = (times: number[]) => Math.max(0, ...times.map((from) => times
  .filter((time) => time >= from && time < from + limits.windowMs).length));

test.each([[1, 0], [4, 0], [4, 3], [10, 1]])('%i entries, %i requests a tick each', (entries, perTick) => {
  const allowed = limits.extra + limits.ratio * entries * perTick * (limits.windowMs / 100);
  const most = busiest(take(entries, perTick, 300));
  expect(most).toBeLessThanOrEqual(allowed);
  expect(most).toBeGreaterThan(allowed * 0.5);
});

test('has tells without taking', () => {
  const clock = new ManualClock();
  const window = createRetryWindow({
    clock, limits: () => ({ ratio: 0, extra: 2, windowMs: 1000 }), entries: () => 1,
  });
  expect([window.has(true), window.has(true)]).toEqual([true, true]);
  expect(window.withdraw(true)).toBe(true);
  expect(window.has(true)).toBe(false);
  clock.advance(1001);
  expect(window.has(true)).toBe(true);
});

test('a part is kept for streams that have begun', () => {
  const clock = new ManualClock();
  const window = createRetryWindow({ clock, limits: () => limits, entries: () => 1 });
  const takeAll = (isBegun: boolean) => Array.from({ length: 200 })
    .filter(() => window.withdraw(isBegun)).length;
  const [first, begun] = [takeAll(false), takeAll(true)];
  expect(begun).toBeGreaterThanOrEqual(first * 0.5);
  expect(first + begun).toBeLessThanOrEqual(limits.extra);
});
