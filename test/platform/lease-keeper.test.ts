/** The lease keeper, also with faults of the store. */
import {
  afterEach, beforeEach, expect, test, vi,
} from 'vitest';
import { pino } from 'pino';
import { SystemClock } from '@verbenashunt/core';
import { createLeaseKeeper } from '@verbenashunt/gateway';
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

function startKeeper(node: string, isStoreUp?: () => boolean) {
  const keeper = createLeaseKeeper({
    announcements: { send() {}, onRow() {} },
    clock,
    random,
    log,
    store: createClient(),
    node,
    isStoreUp,
  });
  cleanups.push(keeper.close);
  return keeper;
}

const eventually = (check: () => void) => vi.waitFor(check, { timeout: 10_000, interval: 20 });

test('one of two entries holds the lease, and each counts both', async () => {
  const [a, b] = [startKeeper('a'), startKeeper('b')];
  await eventually(() => {
    expect([a.orderPermit(), b.orderPermit()]
      .filter((permit) => permit && !permit.isHolderUnknown)).toHaveLength(1);
    expect([a.entryCount(), b.entryCount()]).toEqual([2, 2]);
  });
});

test('an entry that waits for its next read of the lease gives no orders', async () => {
  const a = startKeeper('a');
  await eventually(() => expect(a.orderPermit()?.token).toBe(1));
  const b = startKeeper('b');
  await eventually(() => expect(b.entryCount()).toBe(2));
  const seen: unknown[] = [];
  const sample = setInterval(() => seen.push(b.orderPermit()), 10);
  cleanups.push(() => clearInterval(sample));
  await new Promise((resolve) => {
    setTimeout(resolve, 8000);
  });
  expect(seen.length).toBeGreaterThan(100);
  expect(seen.filter((permit) => permit !== undefined)).toEqual([]);
});

test('an expired lease is taken over with a higher token', async () => {
  const a = startKeeper('a');
  await eventually(() => expect(a.orderPermit()?.token).toBe(1));
  a.close();
  const b = startKeeper('b');
  await eventually(() => expect(b.orderPermit()).toEqual({ token: 2, isHolderUnknown: false }));
});

test('a new process of the same VM takes over the lease at once', async () => {
  const a = startKeeper('a');
  await eventually(() => expect(a.orderPermit()?.token).toBe(1));
  a.close();
  const startedAt = performance.now();
  const restarted = startKeeper('a');
  await eventually(() => expect(restarted.orderPermit()?.token).toBe(2));
  expect(performance.now() - startedAt).toBeLessThan(1500);
});

test('a released lease can be taken at once, with a higher token', async () => {
  const a = startKeeper('a');
  await eventually(() => expect(a.orderPermit()?.token).toBe(1));
  await a.release();
  expect(a.orderPermit()).toBeUndefined();
  const startedAt = performance.now();
  const b = startKeeper('b');
  await eventually(() => expect(b.orderPermit()?.token).toBe(2));
  expect(performance.now() - startedAt).toBeLessThan(1500);
});

test('a stopping entry takes no lease, but keeps one that it holds', async () => {
  const a = startKeeper('a');
  await eventually(() => expect(a.orderPermit()?.token).toBe(1));
  const b = startKeeper('b');
  b.announceStop(8000);
  a.announceStop(8000);
  const firstExpiry = (store.read('verbenashunt', 'lease') as { until: number }).until;
  await eventually(() => expect(store.read('verbenashunt', 'lease')).toMatchObject({ holder: 'a', token: 1 }));
  await eventually(() => expect((store.read('verbenashunt', 'lease') as { until: number }).until)
    .toBeGreaterThan(firstExpiry));
  await a.release();
  // Wait until the next read of the stopping entry b, which finds the lease free.
  const reads = () => store.calls.get('/api/rows-get') ?? 0;
  const readsBefore = reads();
  await eventually(() => expect(reads()).toBeGreaterThan(readsBefore));
  const c = startKeeper('c');
  await eventually(() => expect(c.orderPermit()?.token).toBe(2));
  expect(b.orderPermit()).toBeUndefined();
  expect(store.read('verbenashunt', 'lease')).toMatchObject({ holder: 'c', token: 2 });
});

const backAt = (node: string) => (store.read('verbenashunt', `entry.${node}`) as { backAt?: number }).backAt;

test('a stopping entry knows whether another serves, and when the first one is back', async () => {
  const [a, b, c] = [startKeeper('a'), startKeeper('b'), startKeeper('c')];
  await eventually(() => expect([a.entryCount(), b.entryCount(), c.entryCount()])
    .toEqual([3, 3, 3]));
  a.announceStop(8000);
  await eventually(() => expect(backAt('a')).toBeGreaterThan(0));
  expect(a.nextEntryMs()).toBe(0);
  b.announceStop(4000);
  c.announceStop(6000);
  await eventually(() => {
    expect(a.nextEntryMs()).toBeGreaterThan(0);
    expect(a.nextEntryMs()).toBeLessThanOrEqual(4500);
  });
  await eventually(() => {
    expect(b.nextEntryMs()).toBeGreaterThan(4500);
    expect(b.nextEntryMs()).toBeLessThanOrEqual(6500);
  });
  startKeeper('b');
  await eventually(() => expect(backAt('b')).toBeUndefined());
  await eventually(() => expect(a.nextEntryMs()).toBe(0));
});

test('an entry whose row is invalid is counted, and the lease is still taken', async () => {
  store.put('verbenashunt', 'entry.other', 'no json');
  const a = startKeeper('a');
  await eventually(() => {
    expect(a.orderPermit()?.token).toBe(1);
    expect(a.entryCount()).toBe(2);
  });
});

test('a lease that cannot be released during an outage of the store expires', async () => {
  const a = startKeeper('a');
  await eventually(() => expect(a.orderPermit()?.token).toBe(1));
  store.fault = 'busy';
  await a.release();
  store.fault = 'none';
  const b = startKeeper('b');
  await eventually(() => expect(b.orderPermit()?.token).toBe(2));
});

test('a fenced token permits no more orders', async () => {
  const a = startKeeper('a');
  await eventually(() => expect(a.orderPermit()?.token).toBe(1));
  a.onFenced(1);
  expect(a.orderPermit()).toBeUndefined();
});

test('reads the lease again when the response to a renewal was lost', async () => {
  const a = startKeeper('a');
  await eventually(() => expect(a.orderPermit()?.token).toBe(1));
  store.fault = 'lose';
  await new Promise((resolve) => {
    setTimeout(resolve, 1500);
  });
  store.fault = 'none';
  await eventually(() => expect(a.orderPermit()).toEqual({ token: 1, isHolderUnknown: false }));
});

test('after an outage of the store longer than the lease, any entry may give orders with the last token', async () => {
  const a = startKeeper('a');
  await eventually(() => expect(a.orderPermit()?.token).toBe(1));
  const b = startKeeper('b');
  await eventually(() => expect(b.entryCount()).toBe(2));
  store.fault = 'busy';
  await eventually(() => expect([a.orderPermit(), b.orderPermit()])
    .toEqual([{ token: 1, isHolderUnknown: true }, { token: 1, isHolderUnknown: true }]));
});

test('an entry that alone is turned away by the store gives no orders', async () => {
  const a = startKeeper('a', () => true);
  await eventually(() => expect(a.orderPermit()?.token).toBe(1));
  const b = startKeeper('b', () => true);
  const c = startKeeper('c', () => false);
  await eventually(() => expect([b.entryCount(), c.entryCount()]).toEqual([3, 3]));
  store.fault = 'busy';
  await eventually(() => expect(c.orderPermit()).toEqual({ token: 1, isHolderUnknown: true }));
  expect(b.orderPermit()).toBeUndefined();
  expect(a.orderPermit()).toEqual({ token: 1, isHolderUnknown: false });
});
