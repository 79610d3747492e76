/** Passive health checks: when a target becomes suspect and when it is used again. */
import { expect, test } from 'vitest';
import { createTargetHealth, ManualClock } from '@verbenashunt/core';

function setUp() {
  const clock = new ManualClock();
  return { clock, health: createTargetHealth(clock) };
}

test('a failure makes a target suspect for a limited time', () => {
  const { clock, health } = setUp();
  health.recordFailure('a');
  expect([health.isSuspect('a'), health.isSuspect('b')]).toEqual([true, false]);
  clock.advance(501);
  expect(health.isSuspect('a')).toBe(false);
});

test('each further failure makes a target suspect for longer, until a success', () => {
  const { clock, health } = setUp();
  health.recordFailure('a');
  clock.advance(501);
  health.recordFailure('a');
  clock.advance(501);
  expect([health.isSuspect('a'), health.isFailing('a')]).toEqual([true, true]);
  health.recordSuccess('a');
  expect([health.isSuspect('a'), health.isFailing('a')]).toEqual([false, false]);
});

test('several refusals in a row make a target suspect, one does not', () => {
  const { health } = setUp();
  const seen = Array.from({ length: 4 }, () => {
    health.recordRefusal('a');
    return health.isSuspect('a');
  });
  expect(seen).toEqual([false, false, false, true]);
});

test('a success resets the count of refusals', () => {
  const { health } = setUp();
  Array.from({ length: 10 }).forEach(() => {
    health.recordRefusal('a');
    health.recordRefusal('a');
    health.recordSuccess('a');
  });
  expect(health.isSuspect('a')).toBe(false);
});

/**
 * Share of 400 requests that are sent to a target while it is not suspect; `hasError` says which of
 * them fail.
 */
function shareSent(hasError: (i: number) => boolean): number {
  const { clock, health } = setUp();
  const sent = Array.from({ length: 400 }, (_, i) => {
    clock.advance(20);
    if (health.isSuspect('a')) return 0;
    if (hasError(i)) health.recordError('a');
    else health.recordSuccess('a');
    return 1;
  });
  return sent.reduce<number>((sum, n) => sum + n, 0) / sent.length;
}

test('a target that fails two of five requests is suspect most of the time', () => {
  expect(shareSent((i) => i % 5 === 0 || i % 5 === 2)).toBeLessThan(0.2);
});

test('a target that fails one of twelve requests is never suspect', () => {
  expect(shareSent((i) => i % 12 === 0)).toBe(1);
});

test('a target that has stopped failing is used again', () => {
  expect(shareSent((i) => i < 40 && i % 2 === 0)).toBeGreaterThan(0.75);
});

test('evicts the oldest of many targets, so that memory is bounded', () => {
  const { health } = setUp();
  Array.from({ length: 20_000 }, (_, i) => health.recordFailure(`target-${i}`));
  expect([health.isSuspect('target-0'), health.isSuspect('target-19999')]).toEqual([false, true]);
});
