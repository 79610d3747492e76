/** Targets that requests found failing, and when they are used again. */
import { expect, test } from 'vitest';
import { createTargetHealth, ManualClock } from '@verbenashunt/core';

function begin() {
  const clock = new ManualClock();
  return { clock, health: createTargetHealth(clock) };
}

test('avoided after a failure, and tried again', () => {
  const { clock, health } = begin();
  health.failed('a');
  expect([health.isSuspect('a'), health.isSuspect('b')]).toEqual([true, false]);
  clock.advance(501);
  expect(health.isSuspect('a')).toBe(false);
});

test('avoided longer each time, until a success', () => {
  const { clock, health } = begin();
  health.failed('a');
  clock.advance(501);
  health.failed('a');
  clock.advance(501);
  expect([health.isSuspect('a'), health.isFailing('a')]).toEqual([true, true]);
  health.succeeded('a');
  expect([health.isSuspect('a'), health.isFailing('a')]).toEqual([false, false]);
});

test('one request that fails says little, several in a row do', () => {
  const { health } = begin();
  const seen = Array.from({ length: 4 }, () => {
    health.doubted('a');
    return health.isSuspect('a');
  });
  expect(seen).toEqual([false, false, false, true]);
});

test('a success between failures of requests clears the doubt', () => {
  const { health } = begin();
  Array.from({ length: 10 }).forEach(() => {
    health.doubted('a');
    health.doubted('a');
    health.succeeded('a');
  });
  expect(health.isSuspect('a')).toBe(false);
});

/** Share of requests that go to a target which errs as told, when suspects are avoided. */
function shareAt(errs: (i: number) => boolean): number {
  const { clock, health } = begin();
  const sent = Array.from({ length: 400 }, (_, i) => {
    clock.advance(20);
    if (health.isSuspect('a')) return 0;
    if (errs(i)) health.erred('a');
    else health.succeeded('a');
    return 1;
  });
  return sent.reduce<number>((sum, n) => sum + n, 0) / sent.length;
}

test('one that errs on two of five requests is avoided most of the time', () => {
  expect(shareAt((i) => i % 5 === 0 || i % 5 === 2)).toBeLessThan(0.2);
});

test('one that errs now and then is not', () => {
  expect(shareAt((i) => i % 12 === 0)).toBe(1);
});

test('one that errs no more is used again', () => {
  expect(shareAt((i) => i < 40 && i % 2 === 0)).toBeGreaterThan(0.75);
});

test('what is kept stays bounded, however many targets come and go', () => {
  const { health } = begin();
  Array.from({ length: 20_000 }, (_, i) => health.failed(`target-${i}`));
  expect([health.isSuspect('target-0'), health.isSuspect('target-19999')]).toEqual([false, true]);
});
