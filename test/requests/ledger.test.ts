/**
 * Model check of calls that may not be repeated: explores the interleavings of messages and faults
 * in a small model with two entries, two agents, the service and the table.
 */
import fc from 'fast-check';
import { expect, test } from 'vitest';
import {
  createWorld, stepsOf, violation, type World,
} from '../support/ledger-world.js';

const seed = 20_261;

function after(world: World, step: (next: World) => void): World {
  const next = structuredClone(world);
  step(next);
  return next;
}

/** Key of a state. Ignores the order of messages in flight, as they may arrive in any order. */
function stateKey({ flying, ...rest }: World) {
  return JSON.stringify([rest, flying.map((flight) => JSON.stringify(flight)).sort()]);
}

function explore(faults: number) {
  const first = createWorld(faults);
  const seen = new Set([stateKey(first)]);
  const unexplored = [first];
  const outcomes = new Set<string>();
  while (unexplored.length > 0) {
    const world = unexplored.pop()!;
    const broken = violation(world);
    if (broken) return { broken, states: seen.size, outcomes };
    if (world.flying.length === 0) outcomes.add(world.requests.map((r) => r.outcome ?? 'none').join());
    stepsOf(world).map((step) => after(world, step)).forEach((next) => {
      const key = stateKey(next);
      if (seen.has(key)) return;
      seen.add(key);
      unexplored.push(next);
    });
  }
  return { broken: undefined, states: seen.size, outcomes };
}

test('a call runs at most once in all interleavings with one fault', () => {
  const { broken, states, outcomes } = explore(1);
  console.log(`${states} states, ${outcomes.size} pairs of outcomes`);
  expect(broken).toBeUndefined();
  expect(outcomes).toContain('completed,completed');
});

test('a call runs at most once in random interleavings with five faults', () => {
  fc.assert(fc.property(fc.array(fc.nat(), { minLength: 30, maxLength: 80 }), (choices) => {
    const world = createWorld(5);
    return choices.every((choice) => {
      const steps = stepsOf(world);
      steps[choice % Math.max(1, steps.length)]?.(world);
      return violation(world) === undefined;
    });
  }), { seed, numRuns: 20_000 });
});
