/** Requests in flight that the selector counts, and targets that it makes suspect. */
import { expect, test } from 'vitest';
import { createTargetTable, ManualClock } from '@verbenashunt/core';
import { createSelector, type Choice, type RequestSpec } from '@verbenashunt/gateway';

const createTestSelector = (mayBeFull: boolean) => createSelector({
  clock: new ManualClock(),
  random: () => 0.5,
  zone: 'zone-a',
  targets: createTargetTable(),
  entryCount: () => 1,
  loadMonitor: () => ({
    tokensAt: () => 0,
    slowdownOf: () => 1,
    mayBeFull: () => mayBeFull,
    isDead: () => false,
    pollSoon() {},
  }),
});

test('releases an attempt only once', () => {
  const selector = createTestSelector(false);
  const choice = { parts: [{ id: 'a' }] } as unknown as Choice;
  const spec = { size: { promptTokens: 50, answerTokens: 20 } } as unknown as RequestSpec;
  const release = selector.countInFlight(choice, spec);
  selector.countInFlight(choice, spec);
  release();
  release();
  expect(selector.ownTokens('a')).toBe(70);
});

test('suspects a target after one refusal if its memory is not full', () => {
  const selector = createTestSelector(false);
  selector.recordRefusal('a', true);
  expect(selector.health.isSuspect('a')).toBe(true);
});

test('suspects a target that may be full after four refusals in a row', () => {
  const selector = createTestSelector(true);
  const suspected = Array.from({ length: 4 }, () => {
    selector.recordRefusal('a', true);
    return selector.health.isSuspect('a');
  });
  expect(suspected).toEqual([false, false, false, true]);
});
