/** Retry budget of one service: limits over all entries together in any sliding window. */
import { expect, test } from 'vitest';
import { createRetryWindow, ManualClock } from '@verbenashunt/core';

const limits = { ratio: 0.2, extra: 100, windowMs: 10_000 };

function takeRetries(entries: number, requestsPerTick: number, ticks: number) {
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

/** Largest number of retries in any window. */
const mostInWindow = (times: number[]) => Math.max(0, ...times.map((from) => times
  .filter((time) => time >= from && time < from + limits.windowMs).length));

test.each([[1, 0], [4, 0], [4, 3], [10, 1]])('stays within the budget with %i entries and %i requests per tick each', (entries, perTick) => {
  const allowed = limits.extra + limits.ratio * entries * perTick * (limits.windowMs / 100);
  const most = mostInWindow(takeRetries(entries, perTick, 300));
  expect(most).toBeLessThanOrEqual(allowed);
  expect(most).toBeGreaterThan(allowed * 0.5);
});

test('canWithdraw does not take a retry', () => {
  const clock = new ManualClock();
  const window = createRetryWindow({
    clock, limits: () => ({ ratio: 0, extra: 2, windowMs: 1000 }), entries: () => 1,
  });
  expect([window.canWithdraw(true), window.canWithdraw(true)]).toEqual([true, true]);
  expect(window.withdraw(true)).toBe(true);
  expect(window.canWithdraw(true)).toBe(false);
  clock.advance(1001);
  expect(window.canWithdraw(true)).toBe(true);
});

test('reserves a part of the retries for started streams', () => {
  const clock = new ManualClock();
  const window = createRetryWindow({ clock, limits: () => limits, entries: () => 1 });
  const takeAll = (isStarted: boolean) => Array.from({ length: 200 })
    .filter(() => window.withdraw(isStarted)).length;
  const [first, started] = [takeAll(false), takeAll(true)];
  expect(started).toBeGreaterThanOrEqual(first * 0.5);
  expect(first + started).toBeLessThanOrEqual(limits.extra);
});

test('a reserved retry is left for its stream when all others are used', () => {
  const clock = new ManualClock();
  const window = createRetryWindow({ clock, limits: () => limits, entries: () => 1 });
  const reserved = Array.from({ length: 200 }).filter(() => window.reserve()).length;
  const withdrawn = Array.from({ length: 200 }).filter(() => window.withdraw(true)).length;
  const used = Array.from({ length: reserved }).filter(() => {
    window.release();
    return window.withdraw(true);
  }).length;
  expect(reserved).toBeGreaterThan(0);
  expect(withdrawn).toBeGreaterThan(0);
  expect(used).toBe(reserved);
  expect(withdrawn + used).toBeLessThanOrEqual(limits.extra);
});

test('no retry is reserved while retries are scarce', () => {
  const clock = new ManualClock();
  const window = createRetryWindow({ clock, limits: () => limits, entries: () => 1 });
  Array.from({ length: limits.extra / 2 }).forEach(() => window.withdraw(true));
  expect(window.reserve()).toBe(false);
});
