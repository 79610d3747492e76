/** Slow targets found from passing traffic. */
import { expect, test } from 'vitest';
import { createSlowness, ManualClock } from '@verbenashunt/core';

const nodes = Array.from({ length: 9 }, (_, i) => `n${i}`);

/** Chains of three stages, one target of each; `n0` makes its chains ten times slower. */
function observeAll(slowness: ReturnType<typeof createSlowness>) {
  Array.from({ length: 81 }, (_, i) => i).forEach((i) => {
    const pick = (divisor: number, stage: number) => stage * 3 + (Math.floor(i / divisor) % 3);
    const chain = [1, 3, 9].map((divisor, stage) => nodes[pick(divisor, stage)]!);
    slowness.observe(chain, chain.includes('n0') ? 10 : 1);
  });
}

test('only the slow target is blamed', () => {
  const clock = new ManualClock();
  const slowness = createSlowness({ now: () => clock.now() });
  observeAll(slowness);
  expect(nodes.filter((node) => slowness.of(node) > 1)).toEqual(['n0']);
  expect(slowness.of('n0')).toBeCloseTo(10);
});

test('it is tried again later', () => {
  const clock = new ManualClock();
  const slowness = createSlowness({ now: () => clock.now(), forgetMs: 5000 });
  observeAll(slowness);
  clock.advance(6000);
  expect(slowness.of('n0')).toBe(1);
});

test('a load that slows all blames none', () => {
  const clock = new ManualClock();
  const slowness = createSlowness({ now: () => clock.now() });
  nodes.forEach((node) => Array.from({ length: 8 }).forEach(() => slowness.observe([node], 7)));
  expect(nodes.map(slowness.of).every((factor) => factor === 1)).toBe(true);
});
