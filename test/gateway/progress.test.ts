/** What streams tell of the targets that they were sent to. */
import { expect, test } from 'vitest';
import { createTargetProgress } from '@verbenashunt/gateway';

test('dropped: one that was sent later has begun in a fraction of the time', () => {
  const progress = createTargetProgress();
  const waiting = progress.start('a', 90);
  progress.start('a', 100).event(150);
  expect(waiting.isDropped(280)).toBe(false);
  expect(waiting.isDropped(300)).toBe(true);
  waiting.event(310);
  expect(waiting.isDropped(900)).toBe(false);
});

test('not dropped: only earlier ones have begun, or those of another target', () => {
  const progress = createTargetProgress();
  progress.start('a', 100).event(110);
  const waiting = progress.start('a', 120);
  progress.start('b', 130).event(140);
  expect(waiting.isDropped(900)).toBe(false);
});

test('not dropped: all begin late at a loaded target, the short prompts first', () => {
  const progress = createTargetProgress();
  const waiting = progress.start('a', 0);
  Array.from({ length: 20 }, (_, i) => progress.start('a', 10 + i * 10).event(600 + i * 20));
  expect(waiting.isDropped(1100)).toBe(false);
});

test('the wait for a first event: of the last that came, or of those that wait since', () => {
  const progress = createTargetProgress();
  expect(progress.firstMs('a', 0)).toBe(0);
  progress.start('a', 0);
  const second = progress.start('a', 100);
  expect(progress.firstMs('a', 300)).toBe(300);
  second.event(350);
  expect(progress.firstMs('a', 360)).toBe(250);
  const third = progress.start('a', 400);
  expect(progress.firstMs('a', 800)).toBe(400);
  third.end();
  expect(progress.firstMs('a', 2000)).toBe(0);
});

test('pauses: the middle of at least three streams, one that hangs left out', () => {
  const progress = createTargetProgress();
  const streams = [0, 1, 2].map(() => progress.start('a', 0));
  streams.forEach((stream) => stream.event(10));
  expect(progress.pauseMs('a', 20)).toBe(0);
  streams.forEach((stream, i) => stream.event(50 + 10 * i));
  expect(progress.pauseMs('a', 80)).toBe(50);
  streams.slice(0, 2).forEach((stream) => stream.event(90));
  expect(progress.pauseMs('a', 5000)).toBeGreaterThan(4000);
  streams[0]!.end();
  expect(progress.pauseMs('a', 5000)).toBe(0);
});
