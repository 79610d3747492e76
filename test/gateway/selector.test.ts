/** What a selector counts of the requests in flight. */
import { expect, test } from 'vitest';
import { createTargetTable, ManualClock } from '@verbenashunt/core';
import { createSelector, type Choice, type RequestSpec } from '@verbenashunt/gateway';

test('the end of an attempt is counted once, however often it is told', () => {
  const selector = createSelector({
    clock: new ManualClock(),
    random: () => 0.5,
    zone: 'zone-a',
    targets: createTargetTable(),
    entries: () => 1,
    load: () => ({
      tokensAt: () => 0, slowdownOf: () => 1, isFull: () => false, isDead: () => false, check() {},
    }),
  });
  const choice = { parts: [{ id: 'a' }] } as unknown as Choice;
  const spec = { size: { promptTokens: 50, answerTokens: 20 } } as unknown as RequestSpec;
  const release = selector.hold(choice, spec);
  selector.hold(choice, spec);
  release();
  release();
  expect(selector.ownTokens('a')).toBe(70);
});
