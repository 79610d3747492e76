/** The table of targets: one that has said that it is leaving is never used again. */
import { expect, test } from 'vitest';
import { createTargetTable, type ServingTarget, type TargetTable } from '@verbenashunt/core';
import { servingTarget } from '../support/serving-target.js';

const target = servingTarget('a');
const restarted = { ...target, startedAt: 6 };

/** Marks the target without a row; returns whether `listed` is draining once it is listed. */
function isDraining(listed: ServingTarget, list: (table: TargetTable) => void) {
  const table = createTargetTable();
  table.markDraining(target);
  list(table);
  return table.byId(listed.id)?.draining;
}

// Guards against new work for a target that left, when a late write brings its row back.
test('a target marked while it has no row is draining when its row returns', () => {
  expect(isDraining(target, (table) => table.apply({ id: 'a', target }))).toBe(true);
  expect(isDraining(target, (table) => table.reset([target]))).toBe(true);
  expect(isDraining(target, (table) => {
    table.reset([target]);
    table.reset([]);
    table.reset([target]);
  })).toBe(true);
});

test('a row that states no start is taken for that of the target that is leaving', () => {
  const unknown = { ...target, startedAt: undefined };
  expect(isDraining(unknown, (table) => table.apply({ id: 'a', target: unknown }))).toBe(true);
});

// Guards against marking a target for what another one said.
test('neither a restarted target nor another one at the address is marked', () => {
  const other = { ...target, id: 'b' };
  expect(isDraining(restarted, (table) => table.apply({ id: 'a', target: restarted }))).toBe(false);
  expect(isDraining(other, (table) => table.apply({ id: 'b', target: other }))).toBe(false);
});

test('a listed target is marked once, and only its own incarnation', () => {
  const table = createTargetTable();
  table.reset([restarted]);
  expect(table.markDraining(target)).toBe(true);
  expect(table.byId('a')?.draining).toBe(false);
  expect(table.markDraining(restarted)).toBe(true);
  expect(table.byId('a')?.draining).toBe(true);
  expect(table.markDraining(restarted)).toBe(false);
});
