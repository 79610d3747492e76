/**
 * Model check of calls that may not be repeated: explores the interleavings of messages and faults
 * in a small model with two entries, two agents, the service and the table.
 */
import fc from 'fast-check';
import { expect, test } from 'vitest';
import {
  createLedgerModel, possibleSteps, findViolation, type LedgerModel,
} from '../support/ledger-model.js';

const seed = 20_261;

function after(model: LedgerModel, step: (next: LedgerModel) => void): LedgerModel {
  const next = structuredClone(model);
  step(next);
  return next;
}

/** Key of a state. Ignores the order of messages in flight, as they may arrive in any order. */
function stateKey({ pending: messages, ...rest }: LedgerModel) {
  return JSON.stringify([rest, messages.map((message) => JSON.stringify(message)).sort()]);
}

function explore(faults: number) {
  const first = createLedgerModel(faults);
  const seen = new Set([stateKey(first)]);
  const unexplored = [first];
  const outcomes = new Set<string>();
  while (unexplored.length > 0) {
    const model = unexplored.pop()!;
    const broken = findViolation(model);
    if (broken) return { broken, states: seen.size, outcomes };
    if (model.pending.length === 0) outcomes.add(model.requests.map((r) => r.outcome ?? 'none').join());
    possibleSteps(model).map((step) => after(model, step)).forEach((next) => {
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
    const model = createLedgerModel(5);
    return choices.every((choice) => {
      const steps = possibleSteps(model);
      steps[choice % Math.max(1, steps.length)]?.(model);
      return findViolation(model) === undefined;
    });
  }), { seed, numRuns: 20_000 });
});
