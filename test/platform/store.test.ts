/** The row store's client, the table follower and the lease keeper, also with store faults. */
import { createServer, type Server } from 'node:http';
import type { AddressInfo } from 'node:net';
import {
  afterEach, beforeEach, expect, test, vi,
} from 'vitest';
import { pino } from 'pino';
import {
  ConflictError, HistoryLostError, PlatformError, PlatformRateError, SystemClock,
} from '@verbenashunt/core';
import {
  createLeaseKeeper, followTable, type RowStore, type StoredRow,
} from '@verbenashunt/gateway';
import { createPlatformPorts } from '@verbenashunt/platform';
import { startStore, type StoreStandIn } from '@verbenashunt/platform/stand-in';
import { createRelay } from '../support/relay.js';

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
const rowWrite = (key: string, value: string) => ({ table: 't', key, value: Buffer.from(value) });

test('writes rows only if the expected versions hold', async () => {
  const client = createClient();
  const { version } = await client.write({ expect: [{ table: 't', key: 'a', version: 0 }], put: [rowWrite('a', '1')] });
  await expect(client.write({ expect: [{ table: 't', key: 'a', version: 0 }], put: [rowWrite('a', '2')] }))
    .rejects.toThrow(ConflictError);
  const { rows } = await client.read('t');
  expect(rows).toEqual([{ key: 'a', value: Buffer.from('1'), version }]);
});

test('reads more rows than fit on one page', async () => {
  Array.from({ length: 1203 }, (_, i) => store.put('t', String(i).padStart(4, '0'), i));
  const { rows } = await createClient().read('t');
  expect(rows).toHaveLength(1203);
  expect(new Set(rows.map(({ key }) => key)).size).toBe(1203);
});

test.each([
  ['busy', PlatformRateError], ['limit', PlatformRateError], ['lose', PlatformError], ['silent', PlatformError],
] as const)('write with the store fault "%s" rejects with the right error', async (fault, error) => {
  const client = createClient();
  store.fault = fault;
  const rejection = client.write({ expect: [], put: [rowWrite('a', '1')] }).catch((err: Error) => err);
  const err = await rejection;
  expect(err).toBeInstanceOf(error);
  // Callers must be able to tell a request without effect from one whose effect is unknown.
  expect(err instanceof PlatformRateError).toBe(error === PlatformRateError);
  expect(store.read('t', 'a')).toBe(fault === 'lose' ? 1 : undefined);
});

test('changes since a version without history reject with HistoryLostError', async () => {
  store.put('t', 'a', 1);
  store.compact();
  await expect(createClient().changes('t', 0, 10)).rejects.toThrow(HistoryLostError);
});

test('after a call without response, no kept connection is used that may be silent too', async () => {
  const relay = await createRelay(Number(store.address.split(':')[1]));
  cleanups.push(relay.close);
  const client = createPlatformPorts(`127.0.0.1:${relay.port}`).store;
  // Each table has a call at the same time, and each call a connection.
  await Promise.all(['a', 'b', 'c'].map((table) => client.changes(table, 0, 50)));
  await vi.waitFor(() => expect(relay.openCount).toBe(3), waitOptions);
  await new Promise(setImmediate);
  relay.dropData();
  await expect(client.read('a')).rejects.toThrow(PlatformError);
  expect(await client.read('a')).toMatchObject({ rows: [] });
  expect(await client.read('b')).toMatchObject({ rows: [] });
});

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

/** Resolves to IP:PORT. */
async function listen(server: Server): Promise<string> {
  await new Promise<void>((resolve) => {
    server.listen(0, '127.0.0.1', resolve);
  });
  cleanups.push(() => server.close());
  return `127.0.0.1:${(server.address() as AddressInfo).port}`;
}

test('an answer that arrives slowly but steadily is not taken for silence', async () => {
  const body = JSON.stringify({ rows: [], schemaVersion: 7, nowMs: 1 }).padEnd(1000);
  const server = createServer((_, res) => {
    res.writeHead(200, { 'content-length': body.length });
    Array.from({ length: 10 }, (__, i) => setTimeout(
      () => res.write(body.slice(i * 100, (i + 1) * 100)),
      i * 150,
    ));
  });
  const client = createPlatformPorts(await listen(server)).store;
  expect(await client.changes('t', 0, 0)).toMatchObject({ version: 7 });
});

test('an answer that never ends is given up', async () => {
  const server = createServer((_, res) => {
    const timer = setInterval(() => res.write(' '), 50);
    res.once('close', () => clearInterval(timer));
  });
  const address = await listen(server);
  await expect(createPlatformPorts(address).store.read('t')).rejects.toThrow(PlatformError);
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

test('rows after one that can not be applied are not lost', async () => {
  const seen: string[] = [];
  let isBroken = true;
  const apply = (rows: readonly StoredRow[]) => rows.forEach(({ key, value }) => {
    if (key === 'odd' && isBroken) {
      isBroken = false;
      throw new TypeError('odd row');
    }
    seen.push(`${key}=${value}`);
  });
  const follower = followTable({ table: 't', onRows: apply, onChanges: apply }, {
    clock, random, log, store: createClient(),
  });
  cleanups.push(follower.close);
  await vi.waitFor(() => expect(follower.isConfirmed).toBe(true), waitOptions);
  ['odd', ...Array.from({ length: 20 }, (_, i) => `k${i}`)].forEach((key) => store.put('t', key, 1));
  await vi.waitFor(() => expect(seen).toContain('k19=1'), waitOptions);
  expect(seen).toContain('odd=1');
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
  await expectLast(seen, 'rows ');
  store.fault = 'silent';
  await vi.waitFor(() => expect(follower.isConnected).toBe(false), waitOptions);
  store.put('t', 'a', 1);
  store.fault = 'none';
  await expectLast(seen, 'changes a=1');
  expect(outagesMs).toHaveLength(1);
  expect(outagesMs[0]).toBeGreaterThan(1500);
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
