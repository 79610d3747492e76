/** Calls that may not be repeated, over all interleavings of a small world. */
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

/** Order of what is on its way does not matter, as it arrives in any order. */
function identity({ flying, ...rest }: World) {
  return JSON.stringify([rest, flying.map((flight) => JSON.stringify(flight)).sort()]);
}

function explore(faults: number) {
  const first = createWorld(faults);
  const seen = new Set([identity(first)]);
  const open = [first];
  const outcomes = new Set<string>();
  while (open.length > 0) {
    const world = open.pop()!;
    const wrong = violation(world);
    if (wrong) return { wrong, worlds: seen.size, outcomes };
    if (world.flying.length === 0) outcomes.add(world.requests.map((r) => r.outcome ?? 'none').join());
    stepsOf(world).map((step) => after(world, step)).forEach((next) => {
      const id = identity(next);
      if (seen.has(id)) return;
      seen.add(id);
      open.push(next);
    });
  }
  return { wrong: undefined, worlds: seen.size, outcomes };
}

test('all interleavings with one fault', () => {
  const { wrong, worlds, outcomes } = explore(1);
  console.log(`${worlds} worlds, ${outcomes.size} pairs of outcomes`);
  expect(wrong).toBeUndefined();
  expect(outcomes).toContain('completed,completed');
});

test('random interleavings with five faults', () => {
  fc.assert(fc.property(fc.array(fc.nat(), { minLength: 30, maxLength: 80 }), (choices) => {
    const world = createWorld(5);
    return choices.every((choice) => {
      const steps = stepsOf(world);
      steps[choice % Math.max(1, steps.length)]?.(world);
      return violation(world) === undefined;
    });
  }), { seed, numRuns: 20_000 });
});
