/** The follower of a table, also with faults of the store, rows that fail and large changes. */
import {
  afterEach, beforeEach, expect, test, vi,
} from 'vitest';
import { pino } from 'pino';
import { PlatformError, SystemClock } from '@verbenashunt/core';
import { followTable, type RowStore, type StoredRow } from '@verbenashunt/gateway';
import { createPlatformPorts } from '@verbenashunt/platform';
import { startStore, type StoreStandIn } from '@verbenashunt/platform/stand-in';

const clock = new SystemClock();
const log = pino({ level: 'silent' });
const random = () => 0.5;
const cleanups: (() => unknown)[] = [];
let store: StoreStandIn;
const createClient = () => createPlatformPorts(store.address).store;

beforeEach(async () => {
  store = await startStore();
  cleanups.push(store.close);
});

afterEach(async () => {
  await Promise.all(cleanups.splice(0).reverse().map((cleanup) => cleanup()));
});

const waitOptions = { timeout: 6000, interval: 10 };

test('a store that failed is first asked without a wait, which a silent one would hold up', async () => {
  const waits: number[] = [];
  const failing = [2, 3];
  const state = {
    rows: [], version: 1, era: 0, now: 0,
  };
  const client: RowStore = {
    ...createClient(),
    read: async () => state,
    async changes(_, __, waitMs) {
      waits.push(waitMs);
      const isFailing = failing.includes(waits.length - 1);
      await new Promise(setImmediate);
      if (isFailing) throw new PlatformError('no response');
      return state;
    },
  };
  const follower = followTable({
    table: 't', waitMs: 900, onRows() {}, onChanges() {},
  }, {
    clock, random, log, store: client,
  });
  cleanups.push(follower.close);
  await vi.waitFor(() => expect(waits.length).toBeGreaterThan(5), waitOptions);
  expect(waits.slice(0, 6)).toEqual([0, 900, 900, 0, 0, 900]);
});

function startFollower() {
  const seen: string[] = [];
  const record = (kind: string) => (rows: readonly StoredRow[]) => seen
    .push(`${kind} ${rows.map(({ key, value }) => `${key}=${value ?? 'gone'}`).join(',')}`);
  const outagesMs: number[] = [];
  const follower = followTable({
    table: 't', onRows: record('rows'), onChanges: record('changes'), onStoreRecovered: (ms) => outagesMs.push(ms),
  }, {
    clock, random, log, store: createClient(),
  });
  cleanups.push(follower.close);
  return { seen, follower, outagesMs };
}

const expectLast = (seen: string[], text: string) => vi
  .waitFor(() => expect(seen.at(-1)).toBe(text), waitOptions);

test('reports rows, changes and deletions', async () => {
  store.put('t', 'a', 1);
  const { seen } = startFollower();
  await expectLast(seen, 'rows a=1');
  store.put('t', 'b', 2);
  await expectLast(seen, 'changes b=2');
  store.remove('t', 'a');
  await expectLast(seen, 'changes a=gone');
});

test('an entry that has missed more changes than one answer may hold reads the table', async () => {
  const seen: string[] = [];
  const record = (rows: readonly StoredRow[]) => rows
    .forEach(({ value }) => seen.push(value!.toString().slice(-3)));
  const follower = followTable({ table: 't', onRows: record, onChanges: record }, {
    clock, random, log, store: createClient(),
  });
  cleanups.push(follower.close);
  await vi.waitFor(() => expect(follower.isConfirmed).toBe(true), waitOptions);
  store.fault = 'busy';
  await vi.waitFor(() => expect(follower.isConnected).toBe(false), waitOptions);
  // A configuration of 1,600 routes, changed three times a second for some seconds.
  const configBytes = 'x'.repeat(400_000);
  Array.from({ length: 25 }, (_, i) => store.put('t', 'config', `${configBytes}${100 + i}`));
  store.fault = 'none';
  await vi.waitFor(() => expect(seen.at(-1)).toBe('124'), { timeout: 4000 });
});

const failingKeys = ['odd', ...Array.from({ length: 20 }, (_, i) => `k${i}`)];

// Guards against rows that are skipped once one before them, or the failed one itself, threw.
test.each([
  ['in several answers', 'none'],
  ['in one answer', 'busy'],
] as const)('a row that can not be applied once and those after it are not lost, %s', async (_, fault) => {
  const seen = new Set<string>();
  let isBroken = true;
  const apply = (rows: readonly StoredRow[]) => rows.forEach(({ key }) => {
    if (key === 'odd' && isBroken) {
      isBroken = false;
      throw new TypeError('odd row');
    }
    seen.add(key);
  });
  const follower = followTable({ table: 't', onRows: apply, onChanges: apply }, {
    clock, random, log, store: createClient(),
  });
  cleanups.push(follower.close);
  await vi.waitFor(() => expect(follower.isConfirmed).toBe(true), waitOptions);
  store.fault = fault;
  await vi.waitFor(() => expect(follower.isConnected).toBe(fault === 'none'), waitOptions);
  failingKeys.forEach((key) => store.put('t', key, 1));
  store.fault = 'none';
  // The rows are read again after the failure, so the failed one may be the last.
  await vi.waitFor(() => expect([...seen].sort()).toEqual([...failingKeys].sort()), waitOptions);
  expect(isBroken).toBe(false);
});

test('a row that can never be applied does not keep later ones from being applied', async () => {
  const seen: string[] = [];
  const apply = (rows: readonly StoredRow[]) => rows.forEach(({ key, value }) => {
    if (key === 'odd') throw new TypeError('odd row');
    seen.push(`${key}=${value}`);
  });
  const follower = followTable({ table: 't', onRows: apply, onChanges: apply }, {
    clock, random, log, store: createClient(),
  });
  cleanups.push(follower.close);
  store.put('t', 'odd', 1);
  await vi.waitFor(() => expect(follower.isConfirmed).toBe(true), waitOptions);
  store.put('t', 'z', 1);
  await vi.waitFor(() => expect(seen).toEqual(['z=1']), waitOptions);
});

test('reads the whole table again when the history is lost', async () => {
  store.put('t', 'a', 1);
  const { seen, outagesMs } = startFollower();
  await expectLast(seen, 'rows a=1');
  store.put('t', 'b', 2);
  store.compact();
  await expectLast(seen, 'rows a=1,b=2');
  expect(outagesMs.filter((ms) => ms > 1000)).toEqual([]);
  store.fault = 'busy';
  store.fault = 'none';
  await expectLast(seen, 'rows a=1,b=2');
});

test('ignores a read that is older than what was already reported', async () => {
  store.put('t', 'a', 1);
  const { seen } = startFollower();
  await expectLast(seen, 'rows a=1');
  store.put('t', 'a', 2);
  await expectLast(seen, 'changes a=2');
  store.readAt = 1;
  store.compact();
  store.put('t', 'a', 3);
  await new Promise((resolve) => {
    setTimeout(resolve, 600);
  });
  expect(seen.at(-1)).toBe('changes a=2');
  store.readAt = undefined;
  await expectLast(seen, 'rows a=3');
});

test('follows again soon after a silent store responds again', async () => {
  const { seen, follower, outagesMs } = startFollower();
  // The call after that does not wait for changes, and ends sooner without a response.
  await vi.waitFor(() => expect(follower.isConfirmed).toBe(true), waitOptions);
  store.fault = 'silent';
  await vi.waitFor(() => expect(follower.isConnected).toBe(false), waitOptions);
  store.put('t', 'a', 1);
  store.fault = 'none';
  await expectLast(seen, 'changes a=1');
  expect(outagesMs).toHaveLength(1);
  expect(outagesMs[0]).toBeGreaterThan(1500);
});
