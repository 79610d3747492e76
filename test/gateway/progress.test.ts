/** Estimates of a target's latency, and detection of dropped streams, from its streams. */
import { expect, test } from 'vitest';
import { createTargetProgress } from '@verbenashunt/gateway';

test('a stream is dropped when one that was sent later started in a quarter of the time', () => {
  const progress = createTargetProgress();
  const waiting = progress.start('a', 90);
  progress.start('a', 100).event(150);
  expect(waiting.isDropped(280)).toBe(false);
  expect(waiting.isDropped(300)).toBe(true);
  waiting.event(310);
  expect(waiting.isDropped(900)).toBe(false);
});

test('a stream is not dropped when only earlier ones or those of another target have started', () => {
  const progress = createTargetProgress();
  progress.start('a', 100).event(110);
  const waiting = progress.start('a', 120);
  progress.start('b', 130).event(140);
  expect(waiting.isDropped(900)).toBe(false);
});

test('a stream is not dropped when all start late at a loaded target, short prompts first', () => {
  const progress = createTargetProgress();
  const waiting = progress.start('a', 0);
  Array.from({ length: 20 }, (_, i) => progress.start('a', 10 + i * 10).event(600 + i * 20));
  expect(waiting.isDropped(1100)).toBe(false);
});

test('the wait for a first event is that of the latest started stream or of those sent since', () => {
  const progress = createTargetProgress();
  expect(progress.firstEventMs('a', 0)).toBe(0);
  progress.start('a', 0);
  const second = progress.start('a', 100);
  expect(progress.firstEventMs('a', 300)).toBe(300);
  second.event(350);
  expect(progress.firstEventMs('a', 360)).toBe(250);
  const third = progress.start('a', 400);
  expect(progress.firstEventMs('a', 800)).toBe(400);
  third.end();
  expect(progress.firstEventMs('a', 2000)).toBe(0);
});

test('the pause is the median of at least three streams and grows while they are silent', () => {
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
