/** Series of the request metrics stay bounded whatever organisations and classes there are. */
import { expect, test } from 'vitest';
import { createLabelPairs } from '@verbenashunt/entry';

test('pairs beyond the bound share one', () => {
  const labelPairOf = createLabelPairs(3);
  const pairs = ['a', 'b', 'c', 'd', 'a', 'e'].map((org) => labelPairOf(org, 'chat'));
  expect(pairs.map(({ organisation }) => organisation)).toEqual(['a', 'b', 'c', 'other', 'a', 'other']);
  expect(new Set(pairs).size).toBe(4);
});
