/** Detection of slow targets from the times of whole chains. */
import { expect, test } from 'vitest';
import { createSlownessTracker, ManualClock } from '@verbenashunt/core';

const nodes = Array.from({ length: 9 }, (_, i) => `n${i}`);

/**
 * Observes all chains of three stages with three targets per stage; those that include `n0` take
 * ten times as long.
 */
function observeAll(slowness: ReturnType<typeof createSlownessTracker>) {
  Array.from({ length: 81 }, (_, i) => i).forEach((i) => {
    const pick = (divisor: number, stage: number) => stage * 3 + (Math.floor(i / divisor) % 3);
    const chain = [1, 3, 9].map((divisor, stage) => nodes[pick(divisor, stage)]!);
    slowness.observe(chain, chain.includes('n0') ? 10 : 1);
  });
}

test('only the target that slows its chains counts as slow', () => {
  const clock = new ManualClock();
  const slowness = createSlownessTracker({ now: () => clock.now() });
  observeAll(slowness);
  expect(nodes.filter((node) => slowness.slowdownOf(node) > 1)).toEqual(['n0']);
  expect(slowness.slowdownOf('n0')).toBeCloseTo(10);
});

test('a slow target is tried again when its observations expire', () => {
  const clock = new ManualClock();
  const slowness = createSlownessTracker({ now: () => clock.now(), maxAgeMs: 5000 });
  observeAll(slowness);
  clock.advance(6000);
  expect(slowness.slowdownOf('n0')).toBe(1);
});

test('no target counts as slow when all are slowed equally', () => {
  const clock = new ManualClock();
  const slowness = createSlownessTracker({ now: () => clock.now() });
  nodes.forEach((node) => Array.from({ length: 8 }).forEach(() => slowness.observe([node], 7)));
  expect(nodes.map(slowness.slowdownOf).every((factor) => factor === 1)).toBe(true);
});
