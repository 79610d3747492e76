/** The store's client, the follower of a table and the keeper of the lease, through faults. */
import {
  afterEach, beforeEach, expect, test, vi,
} from 'vitest';
import { pino } from 'pino';
import {
  ConflictError, HistoryLostError, PlatformError, PlatformRateError, SystemClock,
} from '@verbenashunt/core';
import { createLeaseKeeper, followTable, type StoredRow } from '@verbenashunt/gateway';
import { createPlatformPorts } from '@verbenashunt/platform';
import { startStore, type StoreStandIn } from '@verbenashunt/platform/stand-in';

const clock = new SystemClock();
const log = pino({ level: 'silent' });
const random = () => 0.5;
const closers: (() => unknown)[] = [];
let store: StoreStandIn;
const clientOf = () => createPlatformPorts(store.address).store;

beforeEach(async () => {
  store = await startStore();
  closers.push(store.close);
});

afterEach(async () => {
  await Promise.all(closers.splice(0).reverse().map((close) => close()));
});

const put = (key: string, value: string) => ({ table: 't', key, value: Buffer.from(value) });

test('rows under conditions', async () => {
  const client = clientOf();
  const { version } = await client.write({ expect: [{ table: 't', key: 'a', version: 0 }], put: [put('a', '1')] });
  await expect(client.write({ expect: [{ table: 't', key: 'a', version: 0 }], put: [put('a', '2')] }))
    .rejects.toThrow(ConflictError);
  const { rows } = await client.read('t');
  expect(rows).toEqual([{ key: 'a', value: Buffer.from('1'), version }]);
});

test('more rows than one page', async () => {
  Array.from({ length: 1203 }, (_, i) => store.put('t', String(i).padStart(4, '0'), i));
  const { rows } = await clientOf().read('t');
  expect(rows).toHaveLength(1203);
  expect(new Set(rows.map(({ key }) => key)).size).toBe(1203);
});

test.each([
  ['busy', PlatformRateError], ['limit', PlatformRateError], ['lose', PlatformError], ['silent', PlatformError],
] as const)('%s', async (fault, error) => {
  const client = clientOf();
  store.fault = fault;
  const failed = client.write({ expect: [], put: [put('a', '1')] }).catch((err: Error) => err);
  const err = await failed;
  expect(err).toBeInstanceOf(error);
  // Nothing was done, or the effect is unknown: the two must not be taken for each other.
  expect(err instanceof PlatformRateError).toBe(error === PlatformRateError);
  expect(store.read('t', 'a')).toBe(fault === 'lose' ? 1 : undefined);
});

test('history that is gone', async () => {
  store.put('t', 'a', 1);
  store.compact();
  await expect(clientOf().changes('t', 0, 10)).rejects.toThrow(HistoryLostError);
});

function follow() {
  const seen: string[] = [];
  const note = (kind: string) => (rows: readonly StoredRow[]) => seen
    .push(`${kind} ${rows.map(({ key, value }) => `${key}=${value ?? 'gone'}`).join(',')}`);
  const away: number[] = [];
  const follower = followTable({
    table: 't', onRows: note('rows'), onChanges: note('changes'), onStoreRecovered: (ms) => away.push(ms),
  }, {
    clock, random, log, store: clientOf(),
  });
  closers.push(follower.close);
  return { seen, follower, away };
}

const within = { timeout: 6000, interval: 10 };
const last = (seen: string[], text: string) => vi
  .waitFor(() => expect(seen.at(-1)).toBe(text), within);

test('rows, changes, removals', async () => {
  store.put('t', 'a', 1);
  const { seen } = follow();
  await last(seen, 'rows a=1');
  store.put('t', 'b', 2);
  await last(seen, 'changes b=2');
  store.remove('t', 'a');
  await last(seen, 'changes a=gone');
});

test('lost history is read anew', async () => {
  store.put('t', 'a', 1);
  const { seen, away } = follow();
  await last(seen, 'rows a=1');
  store.put('t', 'b', 2);
  store.compact();
  await last(seen, 'rows a=1,b=2');
  expect(away.filter((ms) => ms > 1000)).toEqual([]);
  store.fault = 'busy';
  store.fault = 'none';
  await last(seen, 'rows a=1,b=2');
});

test('a read that is behind what was seen is not taken', async () => {
  store.put('t', 'a', 1);
  const { seen } = follow();
  await last(seen, 'rows a=1');
  store.put('t', 'a', 2);
  await last(seen, 'changes a=2');
  store.readAt = 1;
  store.compact();
  store.put('t', 'a', 3);
  await new Promise((resolve) => {
    setTimeout(resolve, 600);
  });
  expect(seen.at(-1)).toBe('changes a=2');
  store.readAt = undefined;
  await last(seen, 'rows a=3');
});

test('a silent store is followed again soon after it speaks', async () => {
  const { seen, follower, away } = follow();
  await last(seen, 'rows ');
  store.fault = 'silent';
  await vi.waitFor(() => expect(follower.isConnected).toBe(false), within);
  store.put('t', 'a', 1);
  store.fault = 'none';
  await last(seen, 'changes a=1');
  expect(away).toHaveLength(1);
  expect(away[0]).toBeGreaterThan(1500);
});

function keep(node: string) {
  const keeper = createLeaseKeeper({
    clock, random, log, store: clientOf(), node,
  });
  closers.push(keeper.close);
  return keeper;
}

const settled = (check: () => void) => vi.waitFor(check, { timeout: 10_000, interval: 20 });

test('one of two entries holds the lease, and both are counted', async () => {
  const [a, b] = [keep('a'), keep('b')];
  await settled(() => {
    expect([a.orderPermit(), b.orderPermit()].filter((right) => right && !right.isHolderUnknown))
      .toHaveLength(1);
    expect([a.entryCount(), b.entryCount()]).toEqual([2, 2]);
  });
});

test('an entry that waits for its next read of the lease gives no orders', async () => {
  const a = keep('a');
  await settled(() => expect(a.orderPermit()?.token).toBe(1));
  const b = keep('b');
  await settled(() => expect(b.entryCount()).toBe(2));
  const seen: unknown[] = [];
  const sample = setInterval(() => seen.push(b.orderPermit()), 10);
  closers.push(() => clearInterval(sample));
  await new Promise((resolve) => {
    setTimeout(resolve, 8000);
  });
  expect(seen.length).toBeGreaterThan(100);
  expect(seen.filter((right) => right !== undefined)).toEqual([]);
});

test('taken over once it has lapsed, under a higher token', async () => {
  const a = keep('a');
  await settled(() => expect(a.orderPermit()?.token).toBe(1));
  a.close();
  const b = keep('b');
  await settled(() => expect(b.orderPermit()).toEqual({ token: 2, isHolderUnknown: false }));
});

test('a new process of the same VM takes over at once', async () => {
  const a = keep('a');
  await settled(() => expect(a.orderPermit()?.token).toBe(1));
  a.close();
  const startedAt = performance.now();
  const again = keep('a');
  await settled(() => expect(again.orderPermit()?.token).toBe(2));
  expect(performance.now() - startedAt).toBeLessThan(1500);
});

test('released: free at once, under a higher token for the next', async () => {
  const a = keep('a');
  await settled(() => expect(a.orderPermit()?.token).toBe(1));
  await a.release();
  expect(a.orderPermit()).toBeUndefined();
  const startedAt = performance.now();
  const b = keep('b');
  await settled(() => expect(b.orderPermit()?.token).toBe(2));
  expect(performance.now() - startedAt).toBeLessThan(1500);
});

test('one that leaves takes no lease, and keeps the one that it holds', async () => {
  const a = keep('a');
  await settled(() => expect(a.orderPermit()?.token).toBe(1));
  const b = keep('b');
  b.announceStop(8000);
  a.announceStop(8000);
  const firstEnd = (store.read('verbenashunt', 'lease') as { until: number }).until;
  await settled(() => expect(store.read('verbenashunt', 'lease')).toMatchObject({ holder: 'a', token: 1 }));
  await settled(() => expect((store.read('verbenashunt', 'lease') as { until: number }).until)
    .toBeGreaterThan(firstEnd));
  await a.release();
  // The other one's next read finds the lease free.
  const reads = () => store.calls.get('/api/rows-get') ?? 0;
  const readsBefore = reads();
  await settled(() => expect(reads()).toBeGreaterThan(readsBefore));
  const c = keep('c');
  await settled(() => expect(c.orderPermit()?.token).toBe(2));
  expect(b.orderPermit()).toBeUndefined();
  expect(store.read('verbenashunt', 'lease')).toMatchObject({ holder: 'c', token: 2 });
});

const backAt = (node: string) => (store.read('verbenashunt', `entry.${node}`) as { backAt?: number }).backAt;

test('one that leaves knows whether another serves, and when the first is back', async () => {
  const [a, b, c] = [keep('a'), keep('b'), keep('c')];
  await settled(() => expect([a.entryCount(), b.entryCount(), c.entryCount()]).toEqual([3, 3, 3]));
  a.announceStop(8000);
  await settled(() => expect(backAt('a')).toBeGreaterThan(0));
  expect(a.nextEntryMs()).toBe(0);
  b.announceStop(4000);
  c.announceStop(6000);
  await settled(() => {
    expect(a.nextEntryMs()).toBeGreaterThan(0);
    expect(a.nextEntryMs()).toBeLessThanOrEqual(4500);
  });
  await settled(() => {
    expect(b.nextEntryMs()).toBeGreaterThan(4500);
    expect(b.nextEntryMs()).toBeLessThanOrEqual(6500);
  });
  keep('b');
  await settled(() => expect(backAt('b')).toBeUndefined());
  await settled(() => expect(a.nextEntryMs()).toBe(0));
});

test('a row of an entry that can not be read: it counts, and leases go on', async () => {
  store.put('verbenashunt', 'entry.other', 'no json');
  const a = keep('a');
  await settled(() => {
    expect(a.orderPermit()?.token).toBe(1);
    expect(a.entryCount()).toBe(2);
  });
});

test('released while the store is out of reach: it lapses by itself', async () => {
  const a = keep('a');
  await settled(() => expect(a.orderPermit()?.token).toBe(1));
  store.fault = 'busy';
  await a.release();
  store.fault = 'none';
  const b = keep('b');
  await settled(() => expect(b.orderPermit()?.token).toBe(2));
});

test('fenced: no more orders under that token', async () => {
  const a = keep('a');
  await settled(() => expect(a.orderPermit()?.token).toBe(1));
  a.onFenced(1);
  expect(a.orderPermit()).toBeUndefined();
});

test('a renewal whose answer was lost is settled by reading', async () => {
  const a = keep('a');
  await settled(() => expect(a.orderPermit()?.token).toBe(1));
  store.fault = 'lose';
  await new Promise((resolve) => {
    setTimeout(resolve, 1500);
  });
  store.fault = 'none';
  await settled(() => expect(a.orderPermit()).toEqual({ token: 1, isHolderUnknown: false }));
});

test('out of reach for longer than a lease lasts: orders may add, under the last token', async () => {
  const a = keep('a');
  await settled(() => expect(a.orderPermit()?.token).toBe(1));
  const b = keep('b');
  await settled(() => expect(b.entryCount()).toBe(2));
  store.fault = 'busy';
  await settled(() => expect([a.orderPermit(), b.orderPermit()])
    .toEqual([{ token: 1, isHolderUnknown: true }, { token: 1, isHolderUnknown: true }]));
});
