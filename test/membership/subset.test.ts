/** Connection subsets by rendezvous hash: coverage, churn and spread. */
import { expect, test } from 'vitest';
import { chooseSubset, subsetDefaults, type Holding } from '@verbenashunt/core';

const ranges = [[0, 16], [16, 32], [32, 48]] as const;

const holding = (i: number, region = 'bzh-west'): Holding => {
  const [lo, hi] = ranges[i % ranges.length]!;
  return {
    node: `${region}-${i}`, region, group: 'rankings@v1', lo, hi,
  };
};
const fleet = (count: number, region?: string) => Array
  .from({ length: count }, (_, i) => holding(i, region));
const choose = (holdings: Holding[], self = 'entry-1') => chooseSubset(holdings, {
  self, region: 'bzh-west', ...subsetDefaults,
});
const entries = Array.from({ length: 60 }, (_, i) => `entry-${i}`);

test('every range has eight holders and no more', () => {
  const chosen = choose(fleet(300));
  ranges.forEach(([lo]) => {
    const holders = fleet(300).filter((one) => one.lo === lo && chosen.has(one.node));
    expect(holders).toHaveLength(subsetDefaults.perSegment);
  });
  expect(chosen.size).toBe(24);
});

test('a small fleet is connected to whole', () => {
  expect(choose(fleet(20)).size).toBe(20);
});

test('ragged ranges leave no layer without a holder', () => {
  const ragged = Array.from({ length: 200 }, (_, i): Holding => ({
    ...holding(i), lo: (i * 7) % 40, hi: ((i * 7) % 40) + 4 + (i % 5),
  }));
  const chosen = ragged.filter(({ node }) => choose(ragged).has(node));
  Array.from({ length: 44 }, (_, layer) => layer).forEach((layer) => {
    const holds = ({ lo, hi }: Holding) => lo <= layer && layer < hi;
    const least = Math.min(subsetDefaults.perSegment, ragged.filter(holds).length);
    expect(chosen.filter(holds).length).toBeGreaterThanOrEqual(least);
  });
});

test('a region without holders borrows two of another', () => {
  const mixed = [...fleet(1), ...fleet(90, 'cap-vert')];
  const chosen = [...choose(mixed)];
  expect(chosen.filter((node) => node.startsWith('cap-vert'))).toHaveLength(1 + 2 + 2);
  expect(chosen).toContain('bzh-west-0');
});

test('losing one target moves at most one connection of each entry that had it', () => {
  const before = fleet(300);
  const after = before.filter(({ node }) => node !== 'bzh-west-150');
  entries.forEach((self) => {
    const [old, now] = [choose(before, self), choose(after, self)];
    const dropped = [...old].filter((node) => !now.has(node));
    const added = [...now].filter((node) => !old.has(node));
    expect(dropped).toEqual(old.has('bzh-west-150') ? ['bzh-west-150'] : []);
    expect(added).toHaveLength(dropped.length);
  });
});

test('a new target takes only its share of connections', () => {
  const before = fleet(300);
  const after = [...before, holding(300)];
  const moved = entries.flatMap((self) => {
    const old = choose(before, self);
    return [...choose(after, self)].filter((node) => !old.has(node));
  });
  expect(new Set(moved)).toEqual(new Set(['bzh-west-300']));
  expect(moved.length).toBeLessThanOrEqual(12);
});

test('every target is some entry\'s', () => {
  const used = new Set(entries.flatMap((self) => [...choose(fleet(150), self)]));
  expect(used.size).toBe(150);
});
