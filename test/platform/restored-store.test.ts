/** Followers, the lease and entries' own rows after the store was restored from an older copy. */
import {
  afterEach, beforeEach, expect, test, vi,
} from 'vitest';
import { pino } from 'pino';
import { SystemClock } from '@verbenashunt/core';
import {
  createCrashTable, createLeaseKeeper, followTable, type LeaseKeeper, type StoredRow,
} from '@verbenashunt/gateway';
import { createPlatformPorts } from '@verbenashunt/platform';
import { startStore, type StoreStandIn } from '@verbenashunt/platform/stand-in';

const clock = new SystemClock();
const log = pino({ level: 'silent' });
const random = () => 0.5;
const cleanups: (() => unknown)[] = [];
let store: StoreStandIn;
const createDeps = () => ({
  clock, random, log, store: createPlatformPorts(store.address).store,
});

beforeEach(async () => {
  store = await startStore();
  store.era = 1;
  cleanups.push(store.close);
});

afterEach(async () => {
  await Promise.all(cleanups.splice(0).reverse().map((cleanup) => cleanup()));
});

const eventually = (check: () => void) => vi.waitFor(check, { timeout: 10_000, interval: 20 });

function startFollower() {
  const seen: string[] = [];
  const textOf = (rows: readonly StoredRow[]) => rows.map(({ key, value }) => `${key}=${value ?? 'gone'}`).join();
  const { close } = followTable({
    table: 't',
    onStoreRestored: () => seen.push('restored'),
    onRows: (rows) => seen.push(`rows ${textOf(rows)}`),
    onChanges: (rows) => seen.push(`changes ${textOf(rows)}`),
  }, createDeps());
  cleanups.push(close);
  return seen;
}

test('a follower reads the older rows of a restored store', async () => {
  store.put('t', 'a', 1);
  const copy = store.copy();
  store.put('t', 'a', 2);
  const seen = startFollower();
  await eventually(() => expect(seen).toEqual(['rows a=2']));
  store.restore(copy);
  await eventually(() => expect(seen.slice(-2)).toEqual(['restored', 'rows a=1']));
  store.put('t', 'a', 3);
  await eventually(() => expect(seen.at(-1)).toBe('changes a=3'));
});

test('a follower misses no row whose version was given out again', async () => {
  store.put('t', 'a', 1);
  const copy = store.copy();
  store.put('t', 'b', 1);
  const seen = startFollower();
  await eventually(() => expect(seen).toEqual(['rows a=1,b=1']));
  store.restore(copy);
  store.put('t', 'c', 1);
  store.put('t', 'd', 1);
  await eventually(() => expect(seen.at(-1)).toBe('rows a=1,c=1,d=1'));
});

test('the first read of a store that was restored earlier reports no restoration', async () => {
  store.era = 7;
  store.put('t', 'a', 1);
  const seen = startFollower();
  await eventually(() => expect(seen).toEqual(['rows a=1']));
});

test('an invalid era is ignored and reported', async () => {
  const invalid: string[] = [];
  const client = createPlatformPorts(store.address, {
    onInvalidHeader: (name, value) => invalid.push(`${name}: ${value}`),
  }).store;
  expect((await client.read('t')).era).toBe(1);
  store.era = 'two';
  expect((await client.read('t')).era).toBe(1);
  expect(invalid).toEqual(['store-era: two']);
});

function startKeeper(node: string): LeaseKeeper {
  const announcements = { send() {}, onRow() {} };
  const keeper = createLeaseKeeper({ ...createDeps(), announcements, node });
  cleanups.push(keeper.close);
  return keeper;
}

const permitsOf = (keepers: readonly LeaseKeeper[]) => keepers
  .flatMap((keeper) => keeper.orderPermit() ?? []);

test('entries write their rows again and never miss each other meanwhile', async () => {
  const copy = store.copy();
  const keepers = [startKeeper('a'), startKeeper('b'), startKeeper('c')];
  await eventually(() => expect(keepers.map((keeper) => keeper.entryCount())).toEqual([3, 3, 3]));
  const counts = new Set<number>();
  const sample = setInterval(() => keepers.forEach((k) => counts.add(k.entryCount())), 10);
  cleanups.push(() => clearInterval(sample));
  store.restore(copy);
  await eventually(() => expect(['a', 'b', 'c'].map((node) => store.read('verbenashunt', `entry.${node}`)))
    .toEqual(['a', 'b', 'c'].map((node) => ({ node }))));
  await new Promise((resolve) => {
    setTimeout(resolve, 9000);
  });
  expect([...counts]).toEqual([3]);
});

test('after a restoration the former holder leads again, with a higher token', async () => {
  const copy = store.copy();
  const a = startKeeper('a');
  await eventually(() => expect(a.orderPermit()).toBeDefined());
  const b = startKeeper('b');
  await eventually(() => expect(b.entryCount()).toBe(2));
  const { token } = a.orderPermit()!;
  const tokens = new Set<number>();
  const sample = setInterval(() => {
    const permits = permitsOf([a, b]);
    expect(permits.length).toBeLessThanOrEqual(1);
    permits.forEach((permit) => tokens.add(permit.token));
  }, 10);
  cleanups.push(() => clearInterval(sample));
  store.restore(copy);
  await eventually(() => expect(a.orderPermit()?.token).toBeGreaterThan(token));
  await new Promise((resolve) => {
    setTimeout(resolve, 4000);
  });
  expect(b.orderPermit()).toBeUndefined();
  expect(tokens.size).toBe(2);
});

test('a holder that ended with the store is replaced, with a higher token', async () => {
  const a = startKeeper('a');
  await eventually(() => expect(a.orderPermit()).toBeDefined());
  const b = startKeeper('b');
  await eventually(() => expect(b.entryCount()).toBe(2));
  const { token } = a.orderPermit()!;
  const copy = store.copy();
  a.close();
  store.restore(copy);
  await eventually(() => expect(b.orderPermit()?.token).toBeGreaterThan(token));
});

test('a crash that the restored store forgot is recorded again', async () => {
  const copy = store.copy();
  const crashTable = createCrashTable({
    ...createDeps(),
    node: 'a',
    entryCount: () => 1,
    storeTimeOf: (time) => time,
    announcements: { send() {}, onRow() {} },
    onCrash() {},
  });
  cleanups.push(crashTable.close);
  crashTable.recordCrash({
    target: 't.1', fingerprints: ['f'], at: 0, unbegun: [],
  });
  const read = () => store.read('verbenashunt-crashes', 'a');
  await eventually(() => expect(read()).toBeDefined());
  const recorded = read();
  store.restore(copy);
  expect(read()).toBeUndefined();
  await eventually(() => expect(read()).toEqual(recorded));
});
