/** Streams that wait while others at their target begin. */
import { expect, test } from 'vitest';
import { createFirstEvents } from '@verbenashunt/gateway';

test('dropped: one that was sent later has begun in a fraction of the time', () => {
  const firsts = createFirstEvents();
  firsts.begun('a', 100, 150);
  expect(firsts.isDropped('a', 90, 280)).toBe(false);
  expect(firsts.isDropped('a', 90, 300)).toBe(true);
  expect(firsts.isDropped('b', 90, 300)).toBe(false);
});

test('not dropped: only earlier ones have begun', () => {
  const firsts = createFirstEvents();
  firsts.begun('a', 100, 150);
  firsts.begun('a', 50, 160);
  expect(firsts.isDropped('a', 100, 900)).toBe(false);
  expect(firsts.isDropped('a', 120, 900)).toBe(false);
});

test('not dropped: all begin late at a loaded target, the short prompts first', () => {
  const firsts = createFirstEvents();
  Array.from({ length: 20 }, (_, i) => firsts.begun('a', i * 10, 600 + i * 20));
  expect(firsts.isDropped('a', 0, 1100)).toBe(false);
});
