/** Bounds the number of time series of the request metrics. */
import { expect, test } from 'vitest';
import { createLabelPairs } from '@verbenashunt/entry';

test('pairs beyond the limit share one label pair', () => {
  const labelPairOf = createLabelPairs(3);
  const pairs = ['a', 'b', 'c', 'd', 'a', 'e'].map((org) => labelPairOf(org, 'chat'));
  expect(pairs.map(({ organisation }) => organisation)).toEqual(['a', 'b', 'c', 'other', 'a', 'other']);
  expect(new Set(pairs).size).toBe(4);
});
