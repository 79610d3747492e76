/**
 * The estimate of the store's clock: an old answer must not look new, nor a new one old by drift.
 */
import { expect, test } from 'vitest';
import { ManualClock } from '@verbenashunt/core';
import { createStoreClock } from '@verbenashunt/gateway';

const start = () => {
  const clock = new ManualClock();
  return { clock, storeClock: createStoreClock(clock) };
};

test('an answer that arrives late keeps the time at which the store sent it', () => {
  const { clock, storeClock } = start();
  clock.advance(2);
  storeClock.record(1000);
  clock.advance(4000);
  storeClock.record(1500);
  expect(clock.now() - storeClock.toLocal(1500)).toBe(3500);
});

test('without any answer of the store, no state counts as new', () => {
  const { storeClock } = start();
  expect(storeClock.toLocal(1000)).toBe(-Infinity);
  storeClock.record(1000);
  storeClock.reset();
  expect(storeClock.toLocal(1000)).toBe(-Infinity);
});

test('a store whose clock is slower than this one still gives new answers', () => {
  const { clock, storeClock } = start();
  const slowness = 0.999;
  Array.from({ length: 3600 }).forEach(() => {
    clock.advance(1000);
    storeClock.record(clock.now() * slowness);
  });
  expect(clock.now() - storeClock.toLocal(clock.now() * slowness)).toBeLessThan(200);
});
