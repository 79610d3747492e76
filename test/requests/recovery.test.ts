/** Stages lost in mid-answer: the whole answer, each layer once per token on the survivors. */
import fc from 'fast-check';
import { expect, test } from 'vitest';
import { referenceAnswer } from '@verbenashunt/stand-ins';
import { chainDefaults, createChainWorld, type Failure } from '../support/chain-world.js';

const seed = 20_262;
const { layers, prompt, maxTokens } = chainDefaults;
const reference = referenceAnswer(layers, prompt, maxTokens);
/** Every token but the last is run through every layer. */
const positions = prompt.length + maxTokens - 1;

const lostNodes = [['0a'], ['1a'], ['2a'], ['0a', '1a'], ['1a', '2a'], ['0a', '2a']];
const failures: Failure[] = ['reset', 'silent', 'engine'];

function lose(
  nodes: string[],
  failure: Failure,
  afterTokens: number,
  extraMs: number,
  linkMs = 0.25,
) {
  const world = createChainWorld({ ...chainDefaults, linkMs });
  world.advance(() => world.result.answer.length >= afterTokens);
  const at = world.clock.now() + extraMs;
  world.advance(() => world.clock.now() >= at);
  nodes.forEach((node) => world.fail(node, failure));
  return { ...world.finish(), nodes: world.nodes };
}

test('no failure', () => {
  const result = createChainWorld(chainDefaults).finish();
  expect(result.answer).toEqual(reference);
  expect(result).toMatchObject({
    outcome: 'length', layerRuns: positions * layers, recovered: [], left: 0,
  });
});

test.each(failures.flatMap((failure) => lostNodes.map((nodes) => [failure, nodes] as const)))(
  '%s of %j',
  (failure, nodes) => {
    const result = lose([...nodes], failure, 8, 5);
    expect(result.answer).toEqual(reference);
    expect(result).toMatchObject({ outcome: 'length', left: 0 });
    const survivors = ['0a', '1a', '2a'].filter((name) => !nodes.includes(name));
    survivors.forEach((name) => {
      expect(result.nodes.get(name)!.engine.layerRuns).toBe(positions * 4);
    });
  },
);

test('any stage at any moment', () => {
  fc.assert(fc.property(
    fc.constantFrom(...lostNodes),
    fc.constantFrom(...failures),
    fc.integer({ min: 0, max: maxTokens - 1 }),
    fc.integer({ min: 0, max: 30 }),
    fc.constantFrom(0.25, 25),
    (nodes, failure, afterTokens, extraMs, linkMs) => {
      const result = lose(nodes, failure, afterTokens, extraMs, linkMs);
      expect(result.answer).toEqual(reference);
      expect(result).toMatchObject({ outcome: 'length', left: 0 });
    },
  ), { seed, numRuns: 300 });
});

test('every frame doubled', () => {
  fc.assert(fc.property(
    fc.constantFrom(...lostNodes),
    fc.integer({ min: 0, max: maxTokens - 1 }),
    fc.infiniteStream(fc.boolean()),
    (nodes, afterTokens, choices) => {
      const world = createChainWorld({
        ...chainDefaults, linkMs: 3, doubles: () => choices.next().value,
      });
      world.advance(() => world.result.answer.length >= afterTokens);
      nodes.forEach((node) => world.fail(node, 'reset'));
      expect(world.finish()).toMatchObject({ answer: reference, outcome: 'length', left: 0 });
    },
  ), { seed, numRuns: 100 });
});

test('a cut connection is resumed', () => {
  fc.assert(fc.property(
    fc.constantFrom('0a', '1a', '2a'),
    fc.integer({ min: 0, max: 400 }),
    fc.integer({ min: 1, max: 250 }),
    (node, atMs, cutMs) => {
      const world = createChainWorld(chainDefaults);
      world.advance(() => world.clock.now() >= atMs);
      world.cut(node, cutMs);
      const result = world.finish();
      expect(result).toMatchObject({
        answer: reference, outcome: 'length', recovered: [], left: 0,
      });
      expect(result.layerRuns).toBe(positions * layers);
    },
  ), { seed, numRuns: 200 });
});

test('a caller that goes away frees every stage', () => {
  const world = createChainWorld(chainDefaults);
  world.advance(() => world.result.answer.length >= 5);
  world.run.cancel();
  expect(world.finish()).toMatchObject({ outcome: '', left: 0 });
});

test('a deadline ends the request on every stage', () => {
  const world = createChainWorld({ ...chainDefaults, maxTokens: 100_000, deadlineMs: 200 });
  world.advance();
  expect(world.clock.now()).toBe(200);
  expect(world.finish()).toMatchObject({ outcome: 'interrupted', left: 0 });
});

test('two stages lost one after the other', () => {
  fc.assert(fc.property(
    fc.constantFrom(['0a', '1a'], ['1a', '0a'], ['1a', '2a'], ['2a', '1a'], ['0a', '2a'], ['2a', '0a']),
    fc.constantFrom(...failures),
    fc.integer({ min: 0, max: maxTokens - 1 }),
    fc.integer({ min: 0, max: 400 }),
    fc.constantFrom(0.25, 25),
    ([first, second], failure, afterTokens, betweenMs, linkMs) => {
      const world = createChainWorld({ ...chainDefaults, linkMs });
      world.advance(() => world.result.answer.length >= afterTokens);
      world.fail(first, failure);
      const at = world.clock.now() + betweenMs;
      world.advance(() => world.clock.now() >= at);
      world.fail(second, failure);
      const result = world.finish();
      expect(result.answer).toEqual(reference);
      expect(result).toMatchObject({ outcome: 'length', left: 0 });
    },
  ), { seed, numRuns: 600 });
});
