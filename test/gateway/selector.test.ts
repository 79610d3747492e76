/** What a selector counts of the requests in flight, and which targets it avoids. */
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

test('the end of an attempt is counted once, however often it is told', () => {
  const selector = createTestSelector(false);
  const choice = { parts: [{ id: 'a' }] } as unknown as Choice;
  const spec = { size: { promptTokens: 50, answerTokens: 20 } } as unknown as RequestSpec;
  const release = selector.countInFlight(choice, spec);
  selector.countInFlight(choice, spec);
  release();
  release();
  expect(selector.ownTokens('a')).toBe(70);
});

test('a target that refuses with memory to spare is avoided at once', () => {
  const selector = createTestSelector(false);
  selector.recordRefusal('a', true);
  expect(selector.health.isSuspect('a')).toBe(true);
});

test('one that may be full is avoided after four refusals in a row', () => {
  const selector = createTestSelector(true);
  const suspected = Array.from({ length: 4 }, () => {
    selector.recordRefusal('a', true);
    return selector.health.isSuspect('a');
  });
  expect(suspected).toEqual([false, false, false, true]);
});
