/** Connection subsets by rendezvous hash: coverage, stability and distribution. */
import { expect, test } from 'vitest';
import { chooseSubset, subsetDefaults, type HostedRange } from '@verbenashunt/core';

const ranges = [[0, 16], [16, 32], [32, 48]] as const;

const hostedRange = (i: number, region = 'bzh-west'): HostedRange => {
  const [lo, hi] = ranges[i % ranges.length]!;
  return {
    node: `${region}-${i}`, region, group: 'rankings@v1', lo, hi,
  };
};
const fleet = (count: number, region?: string) => Array
  .from({ length: count }, (_, i) => hostedRange(i, region));
const choose = (hosted: HostedRange[], self = 'entry-1') => chooseSubset(hosted, {
  self, region: 'bzh-west', ...subsetDefaults,
});
const entries = Array.from({ length: 60 }, (_, i) => `entry-${i}`);

test('exactly eight targets are chosen for each range', () => {
  const chosen = choose(fleet(300));
  ranges.forEach(([lo]) => {
    const replicas = fleet(300).filter((one) => one.lo === lo && chosen.has(one.node));
    expect(replicas).toHaveLength(subsetDefaults.replicasPerSegment);
  });
  expect(chosen.size).toBe(24);
});

test('all targets of a small fleet are chosen', () => {
  expect(choose(fleet(20)).size).toBe(20);
});

test('every layer is covered when ranges overlap irregularly', () => {
  const irregular = Array.from({ length: 200 }, (_, i): HostedRange => ({
    ...hostedRange(i), lo: (i * 7) % 40, hi: ((i * 7) % 40) + 4 + (i % 5),
  }));
  const chosen = irregular.filter(({ node }) => choose(irregular).has(node));
  Array.from({ length: 44 }, (_, layer) => layer).forEach((layer) => {
    const hostsLayer = ({ lo, hi }: HostedRange) => lo <= layer && layer < hi;
    const least = Math.min(subsetDefaults.replicasPerSegment, irregular.filter(hostsLayer).length);
    expect(chosen.filter(hostsLayer).length).toBeGreaterThanOrEqual(least);
  });
});

test('ranges that the own region lacks are covered by two targets of another region', () => {
  const mixed = [...fleet(1), ...fleet(90, 'cap-vert')];
  const chosen = [...choose(mixed)];
  expect(chosen.filter((node) => node.startsWith('cap-vert'))).toHaveLength(1 + 2 + 2);
  expect(chosen).toContain('bzh-west-0');
});

test('the loss of a target changes one connection of each entry that had chosen it', () => {
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

test('a new target is chosen by its share of the entries and moves no other connection', () => {
  const before = fleet(300);
  const after = [...before, hostedRange(300)];
  const moved = entries.flatMap((self) => {
    const old = choose(before, self);
    return [...choose(after, self)].filter((node) => !old.has(node));
  });
  expect(new Set(moved)).toEqual(new Set(['bzh-west-300']));
  expect(moved.length).toBeLessThanOrEqual(12);
});

test('every target is chosen by at least one entry', () => {
  const used = new Set(entries.flatMap((self) => [...choose(fleet(150), self)]));
  expect(used.size).toBe(150);
});
