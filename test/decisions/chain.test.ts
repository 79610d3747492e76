/** Choice of chains for models and of targets for plain services. */
import { expect, test } from 'vitest';
import fc from 'fast-check';
import {
  chooseChain, chooseService, correctedActive, hasFreeChain, layerCostMs, limitConcurrency,
  type StageCandidate,
} from '@verbenashunt/core';
import { createRandom } from '@verbenashunt/stand-ins';

const layers = 12;
const candidate = (node: string, lo: number, hi: number, more = {}): StageCandidate => ({
  node, zone: 'z', region: 'r', lo, hi, layerMs: 0.2, active: 0, limit: 10, ...more,
});
const linkMs = () => 0.1;
const size = { promptTokens: 10, answerTokens: 10 };

/** Cost of the cheapest chain, found by exhaustive search. */
function minCost(candidates: readonly StageCandidate[], from = 0, used: string[] = []): number {
  if (from === layers) return 0;
  const options = candidates
    .filter(({ node, lo, hi }) => lo <= from && hi > from && !used.includes(node))
    .flatMap((c) => Array.from({ length: c.hi - from }, (_, i) => {
      const to = from + i + 1;
      const rest = minCost(candidates, to, [...used, c.node]);
      return layerCostMs(c, size) * (to - from) + linkMs() * size.answerTokens + rest;
    }));
  return Math.min(Infinity, ...options);
}

test('finds the cheapest chain', () => {
  const candidateSets = fc.array(fc.record({
    cut: fc.constantFrom([0, 4], [4, 8], [8, 12], [0, 6], [6, 12]), load: fc.nat(9),
  }), { minLength: 1, maxLength: 6 });
  fc.assert(fc.property(candidateSets, (draws) => {
    const candidates = draws
      .map(({ cut, load }, i) => candidate(`n${i}`, cut[0], cut[1], { active: load }));
    const chain = chooseChain({
      layers, candidates, linkMs, size,
    });
    const best = minCost(candidates);
    if (chain) expect(chain.cost).toBeCloseTo(best, 6);
    else expect(best).toBe(Infinity);
  }), { seed: 1, numRuns: 200 });
});

test('stages join without gap or overlap', () => {
  const random = createRandom(1);
  const candidates = Array.from({ length: 30 }, (_, i) => candidate(`n${i}`, (i % 3) * 4, (i % 3) * 4 + 4));
  const { stages } = chooseChain({
    layers, candidates, linkMs, size, random,
  })!;
  expect(stages.map(({ lo, hi }) => [lo, hi])).toEqual([[0, 4], [4, 8], [8, 12]]);
});

test('uses full targets only when no others cover the model', () => {
  const candidates = [candidate('full', 0, 12, { active: 10, layerMs: 0.01 }), candidate('free', 0, 12)];
  expect(chooseChain({ layers, candidates, linkMs })!.stages[0]!.node).toBe('free');
  const alone = chooseChain({ layers, candidates: [candidates[0]!], linkMs });
  expect(alone!.stages[0]!.node).toBe('full');
  expect(hasFreeChain(layers, [candidates[0]!])).toBe(false);
});

test('prefers a target that has the prompt prefix cached', () => {
  const candidates = [candidate('cold', 0, 12, { prefillMs: 0.1 }), candidate('warm', 0, 12, { prefillMs: 0.1, cachedTokens: 8 })];
  expect(chooseChain({
    layers, candidates, linkMs, size,
  })!.stages[0]!.node).toBe('warm');
});

test('avoids a slow target', () => {
  const candidates = [candidate('slow', 0, 12, { slowdown: 10 }), candidate('well', 0, 12)];
  expect(chooseChain({ layers, candidates, linkMs })!.stages[0]!.node).toBe('well');
});

test('corrects a stale load report with the entry\'s own requests', () => {
  expect(correctedActive(10, 4, 4)).toBe(10);
  expect(correctedActive(10, 4, 7)).toBe(13);
  expect(correctedActive(0, 3, 5)).toBe(5);
});

test('sampling spreads entries with the same stale view over targets', () => {
  const candidates = Array.from({ length: 40 }, (_, i) => candidate(`n${i}`, 0, 12, { layerMs: 0.2 + i / 1000 }));
  const choose = (more: object) => chooseChain({
    layers, candidates, linkMs, ...more,
  })!.stages[0]!.node;
  const entries = Array.from({ length: 40 }, (_, i) => i + 1);
  const chosen = (sampled: boolean) => new Set(entries
    .map((seed) => choose(sampled ? { random: createRandom(seed) } : {}))).size;
  expect(chosen(false)).toBe(1);
  expect(chosen(true)).toBeGreaterThan(10);
});

test('a slow target reaches full batches at a lower concurrency than a fast one', () => {
  const [fast, slow] = limitConcurrency([candidate('f', 0, 4, { limit: 9999 }), candidate('s', 4, 8, { limit: 9999, layerMs: 2 })], layers);
  expect(fast!.limit).toBeGreaterThan(slow!.limit);
  expect(slow!.limit).toBeGreaterThan(32);
});

test('chooses the less loaded of two targets of a service', () => {
  const services = [
    {
      node: 'busy', zone: 'z', active: 9, limit: 10,
    },
    {
      node: 'idle', zone: 'z', active: 0, limit: 10,
    },
  ];
  expect(chooseService(services, 'z', createRandom(1))!.node).toBe('idle');
  expect(chooseService([], 'z', createRandom(1))).toBeUndefined();
});
