/**
 * Targets whose rows are gone. If an outage of the store was long enough for rows to lapse, or the
 * store was restored from an older copy, such a target is kept for a grace period; otherwise it is
 * removed at once. Rows that a restoration brings back.
 */
import { expect, test } from 'vitest';
import { pino } from 'pino';
import { createTargetTable, ManualClock, type ServingTarget } from '@verbenashunt/core';
import { createTargetList, type StoredRow } from '@verbenashunt/gateway';

const graceOptions = { heartbeatMs: 1000, leaveMs: 2000 };
const row = (key: string, draining = false, startedAt = 1): StoredRow => ({
  key, value: Buffer.from(JSON.stringify({ draining, startedAt })), version: 1,
});
const removed = (key: string): StoredRow => ({ key, value: undefined, version: 2 });

const decode = ({ key, value }: StoredRow): ServingTarget | undefined => (value ? {
  id: key,
  service: 'pool',
  address: `${key}:1`,
  zone: 'zone-a',
  slots: 1,
  kind: undefined,
  held: undefined,
  ...JSON.parse(value.toString()) as Pick<ServingTarget, 'draining' | 'startedAt'>,
} : undefined);

function createList(rows = [row('a'), row('b')], unreachable: string[] = []) {
  const clock = new ManualClock();
  const targets = createTargetTable();
  const list = createTargetList({
    clock,
    log: pino({ level: 'silent' }),
    targets,
    graceOptions,
    decode,
    isReachable: async ({ id }) => !unreachable.includes(id),
  });
  list.onRows(rows);
  return {
    clock, list, targets, ids: () => targets.all.map(({ id }) => id),
  };
}

test('removes a target at once when its row is removed', () => {
  const { list, ids } = createList();
  list.onChanges([removed('a')]);
  expect(ids()).toEqual(['b']);
});

test('keeps targets that lapsed in an outage and removes those that do not register again', () => {
  const { clock, list, ids } = createList();
  list.onStoreRecovered!(4000);
  list.onChanges([removed('a'), removed('b')]);
  expect(ids()).toEqual(['a', 'b']);
  clock.advance(1500);
  list.onChanges([row('a')]);
  clock.advance(5000);
  expect(ids()).toEqual(['a']);
});

test('keeps lapsed targets for the grace period when all rows are read again', () => {
  const { clock, list, ids } = createList();
  list.onStoreRecovered!(4000);
  list.onRows([row('b')]);
  expect(ids().sort()).toEqual(['a', 'b']);
  list.onRows([row('b')]);
  expect(ids().sort()).toEqual(['a', 'b']);
  clock.advance(1799);
  expect(ids().sort()).toEqual(['a', 'b']);
  clock.advance(1);
  expect(ids()).toEqual(['b']);
});

test('limits the grace period by the time allowed for removed targets', () => {
  const { clock, list, ids } = createList();
  list.onStoreRecovered!(4000);
  clock.advance(1000);
  list.onChanges([removed('a')]);
  clock.advance(800);
  expect(ids()).toEqual(['b']);
  list.onChanges([removed('b')]);
  expect(ids()).toEqual([]);
});

test('keeps no target after an outage too short for rows to lapse', () => {
  const { list, ids } = createList();
  list.onStoreRecovered!(1900);
  list.onChanges([removed('a')]);
  expect(ids()).toEqual(['b']);
});

test('removes a draining target at once after an outage', () => {
  const { list, ids } = createList([row('a', true), row('b')]);
  list.onStoreRecovered!(4000);
  list.onChanges([removed('a')]);
  expect(ids()).toEqual(['b']);
});

test('removes an unreachable lapsed target at once unless it registers again', async () => {
  const { list, ids } = createList([row('a'), row('b')], ['a', 'b']);
  list.onStoreRecovered!(4000);
  list.onChanges([removed('a'), removed('b')]);
  list.onChanges([row('b')]);
  await new Promise(setImmediate);
  expect(ids()).toEqual(['b']);
});

const restore = (list: ReturnType<typeof createList>['list'], rows: StoredRow[]) => {
  list.onStoreRestored!();
  list.onRows(rows);
};

test('keeps a target whose row is missing in a restored store until it registers again', () => {
  const { clock, list, ids } = createList();
  restore(list, [row('a')]);
  expect(ids().sort()).toEqual(['a', 'b']);
  list.onChanges([row('b')]);
  clock.advance(10_000);
  expect(ids().sort()).toEqual(['a', 'b']);
});

test('removes a target that does not register again after a restoration', () => {
  const { clock, list, ids } = createList();
  restore(list, [row('a')]);
  clock.advance(1800);
  expect(ids()).toEqual(['a']);
});

test('a target that was draining stays so when a restored row says otherwise', () => {
  const { list, targets } = createList([row('a', true), row('b')]);
  restore(list, [row('a'), row('b')]);
  list.onChanges([row('a')]);
  expect(targets.byId('a')).toMatchObject({ draining: true });
  expect(targets.byId('b')).toMatchObject({ draining: false });
});

test('a removed target that a restored store lists is not used until it writes its row', () => {
  const { list, ids } = createList([row('a'), row('b'), row('c')]);
  list.onChanges([removed('a'), removed('c')]);
  restore(list, [row('a'), row('b'), row('c')]);
  expect(ids()).toEqual(['b']);
  list.onChanges([row('c')]);
  expect(ids().sort()).toEqual(['b', 'c']);
});

test('a removed target is used once its restored row has not expired', () => {
  const { clock, list, ids } = createList();
  list.onChanges([removed('a')]);
  restore(list, [row('a'), row('b')]);
  clock.advance(3999);
  expect(ids()).toEqual(['b']);
  clock.advance(1);
  expect(ids().sort()).toEqual(['a', 'b']);
});

test('a restored row of an earlier process does not replace the restarted target', () => {
  const { list, targets } = createList();
  list.onChanges([row('a', false, 2)]);
  restore(list, [row('a'), row('b')]);
  expect(targets.byId('a')).toMatchObject({ startedAt: 2 });
});

test('a target that lapsed and came back is trusted after a restoration', () => {
  const { list, ids } = createList();
  list.onChanges([removed('a')]);
  list.onRows([row('a'), row('b')]);
  restore(list, [row('a'), row('b')]);
  expect(ids().sort()).toEqual(['a', 'b']);
});
