/** Recovery from lost stages: the answer is complete, and survivors run no layer twice. */
import fc from 'fast-check';
import { expect, test } from 'vitest';
import { referenceAnswer } from '@verbenashunt/stand-ins';
import { defaultChainSpec, createChainSimulation, type Failure } from '../support/chain-simulation.js';

const seed = 20_262;
const { layers, prompt, maxTokens } = defaultChainSpec;
const reference = referenceAnswer(layers, prompt, maxTokens);
/** Positions that each layer processes: all tokens except the last one. */
const positions = prompt.length + maxTokens - 1;

const failedNodes = [['0a'], ['1a'], ['2a'], ['0a', '1a'], ['1a', '2a'], ['0a', '2a']];
const failures: Failure[] = ['reset', 'silent', 'engine'];

function runWithFailure(
  nodes: string[],
  failure: Failure,
  afterTokens: number,
  extraMs: number,
  linkMs = 0.25,
) {
  const simulation = createChainSimulation({ ...defaultChainSpec, linkMs });
  simulation.advance(() => simulation.result.answer.length >= afterTokens);
  const at = simulation.clock.now() + extraMs;
  simulation.advance(() => simulation.clock.now() >= at);
  nodes.forEach((node) => simulation.fail(node, failure));
  return { ...simulation.finish(), nodes: simulation.nodes };
}

test('without a failure each layer runs once per position', () => {
  const result = createChainSimulation(defaultChainSpec).finish();
  expect(result.answer).toEqual(reference);
  expect(result).toMatchObject({
    outcome: 'length', layerRuns: positions * layers, recovered: [], remainingStages: 0,
  });
});

test.each(failures.flatMap((failure) => failedNodes.map((nodes) => [failure, nodes] as const)))(
  '%s failure of %j: the surviving stages run each layer once per position',
  (failure, nodes) => {
    const result = runWithFailure([...nodes], failure, 8, 5);
    expect(result.answer).toEqual(reference);
    expect(result).toMatchObject({ outcome: 'length', remainingStages: 0 });
    const survivors = ['0a', '1a', '2a'].filter((name) => !nodes.includes(name));
    survivors.forEach((name) => {
      expect(result.nodes.get(name)!.engine.layerRuns).toBe(positions * 4);
    });
  },
);

test('the answer is complete after any failure at any time', () => {
  fc.assert(fc.property(
    fc.constantFrom(...failedNodes),
    fc.constantFrom(...failures),
    fc.integer({ min: 0, max: maxTokens - 1 }),
    fc.integer({ min: 0, max: 30 }),
    fc.constantFrom(0.25, 25),
    (nodes, failure, afterTokens, extraMs, linkMs) => {
      const result = runWithFailure(nodes, failure, afterTokens, extraMs, linkMs);
      expect(result.answer).toEqual(reference);
      expect(result).toMatchObject({ outcome: 'length', remainingStages: 0 });
    },
  ), { seed, numRuns: 300 });
});

test('the answer is complete if messages arrive twice', () => {
  fc.assert(fc.property(
    fc.constantFrom(...failedNodes),
    fc.integer({ min: 0, max: maxTokens - 1 }),
    fc.infiniteStream(fc.boolean()),
    (nodes, afterTokens, choices) => {
      const simulation = createChainSimulation({
        ...defaultChainSpec, linkMs: 3, isDuplicated: () => choices.next().value,
      });
      simulation.advance(() => simulation.result.answer.length >= afterTokens);
      nodes.forEach((node) => simulation.fail(node, 'reset'));
      expect(simulation.finish()).toMatchObject({ answer: reference, outcome: 'length', remainingStages: 0 });
    },
  ), { seed, numRuns: 100 });
});

test('a resumed connection to the entry needs no recovery', () => {
  fc.assert(fc.property(
    fc.constantFrom('0a', '1a', '2a'),
    fc.integer({ min: 0, max: 400 }),
    fc.integer({ min: 1, max: 250 }),
    (node, atMs, cutMs) => {
      const simulation = createChainSimulation(defaultChainSpec);
      simulation.advance(() => simulation.clock.now() >= atMs);
      simulation.interruptEntryLink(node, cutMs);
      const result = simulation.finish();
      expect(result).toMatchObject({
        answer: reference, outcome: 'length', recovered: [], remainingStages: 0,
      });
      expect(result.layerRuns).toBe(positions * layers);
    },
  ), { seed, numRuns: 200 });
});

test('a cancel releases every stage', () => {
  const simulation = createChainSimulation(defaultChainSpec);
  simulation.advance(() => simulation.result.answer.length >= 5);
  simulation.run.cancel();
  expect(simulation.finish()).toMatchObject({ outcome: '', remainingStages: 0 });
});

test('the deadline releases every stage', () => {
  const simulation = createChainSimulation({
    ...defaultChainSpec, maxTokens: 100_000, deadlineMs: 200,
  });
  simulation.advance();
  expect(simulation.clock.now()).toBe(200);
  expect(simulation.finish()).toMatchObject({ outcome: 'interrupted', remainingStages: 0 });
});

test('the answer is complete after two failures in succession', () => {
  fc.assert(fc.property(
    fc.constantFrom(['0a', '1a'], ['1a', '0a'], ['1a', '2a'], ['2a', '1a'], ['0a', '2a'], ['2a', '0a']),
    fc.constantFrom(...failures),
    fc.integer({ min: 0, max: maxTokens - 1 }),
    fc.integer({ min: 0, max: 400 }),
    fc.constantFrom(0.25, 25),
    ([first, second], failure, afterTokens, betweenMs, linkMs) => {
      const simulation = createChainSimulation({ ...defaultChainSpec, linkMs });
      simulation.advance(() => simulation.result.answer.length >= afterTokens);
      simulation.fail(first, failure);
      const at = simulation.clock.now() + betweenMs;
      simulation.advance(() => simulation.clock.now() >= at);
      simulation.fail(second, failure);
      const result = simulation.finish();
      expect(result.answer).toEqual(reference);
      expect(result).toMatchObject({ outcome: 'length', remainingStages: 0 });
    },
  ), { seed, numRuns: 600 });
});
