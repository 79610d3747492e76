/** Crash records: shared between entries, retried after failed writes, kept over a restart. */
import {
  afterEach, expect, test, vi,
} from 'vitest';
import { pino } from 'pino';
import { SystemClock } from '@verbenashunt/core';
import { createCrashTable } from '@verbenashunt/gateway';
import { createPlatformPorts } from '@verbenashunt/platform';
import { startStore, type StoreStandIn } from '@verbenashunt/platform/stand-in';

const closers: (() => unknown)[] = [];

afterEach(async () => {
  await Promise.all(closers.splice(0).reverse().map((close) => close()));
});

async function startTestStore() {
  const store = await startStore();
  closers.push(store.close);
  return store;
}

function startEntry(store: StoreStandIn, node: string) {
  const crashedTargets: string[] = [];
  const client = createPlatformPorts(store.address).store;
  const table = createCrashTable({
    clock: new SystemClock(),
    random: () => 0.5,
    log: pino({ level: 'silent' }),
    store: client,
    node,
    entryCount: () => 1,
    storeTimeOf: (time) => time,
    announcements: { send() {}, onRow() {} },
    onCrash: (target) => crashedTargets.push(target),
  });
  closers.push(client.close, table.close);
  return { table, crashedTargets };
}

const crashOf = (target: string, fingerprints: readonly string[]) => ({
  target, fingerprints, at: performance.now(), unbegun: [],
});

const waitOptions = { timeout: 5000, interval: 10 };

test('reports a crash once to each other entry', async () => {
  const store = await startTestStore();
  const [a, b] = [startEntry(store, 'a'), startEntry(store, 'b')];
  // More than one call means that both entries follow the table.
  await vi.waitFor(() => expect(store.calls.get('/api/rows-feed') ?? 0).toBeGreaterThan(1), waitOptions);
  a.table.recordCrash(crashOf('target-1.5', []));
  await vi.waitFor(() => expect(b.crashedTargets).toEqual(['target-1.5']), waitOptions);
  a.table.recordCrash(crashOf('target-2.5', ['f']));
  await vi.waitFor(() => expect(b.crashedTargets).toEqual(['target-1.5', 'target-2.5']), waitOptions);
  expect(b.table.targetsOf('f')).toEqual(['target-2.5']);
  expect(a.crashedTargets).toEqual([]);
});

test('retries a failed write until the store answers', async () => {
  const store = await startTestStore();
  const [a, b] = [startEntry(store, 'a'), startEntry(store, 'b')];
  store.fault = 'busy';
  a.table.recordCrash(crashOf('target-1.5', ['f']));
  await vi.waitFor(() => expect(store.calls.get('/api/rows-tx') ?? 0).toBeGreaterThan(1), waitOptions);
  store.fault = 'none';
  await vi.waitFor(() => expect(b.crashedTargets).toEqual(['target-1.5']), waitOptions);
});

test('keeps the crashes of its row after a restart', async () => {
  const store = await startTestStore();
  const a = startEntry(store, 'a');
  a.table.recordCrash(crashOf('target-1.5', ['f']));
  await vi.waitFor(() => expect(store.read('verbenashunt-crashes', 'a')).toBeDefined(), waitOptions);
  a.table.close();
  const restarted = startEntry(store, 'a');
  await vi.waitFor(() => expect(restarted.table.targetsOf('f')).toEqual(['target-1.5']), waitOptions);
  restarted.table.recordCrash(crashOf('target-2.5', ['f']));
  await vi.waitFor(() => expect(store.read('verbenashunt-crashes', 'a')).toMatchObject({
    crashes: [{ target: 'target-1.5' }, { target: 'target-2.5' }],
  }), waitOptions);
});

test('writes its row again when an older write is carried out late', async () => {
  const store = await startTestStore();
  const a = startEntry(store, 'a');
  const read = () => store.read('verbenashunt-crashes', 'a');
  a.table.recordCrash(crashOf('target-1.5', ['f']));
  await vi.waitFor(() => expect(read()).toBeDefined(), waitOptions);
  const older = read();
  a.table.recordCrash(crashOf('target-2.5', ['f']));
  await vi.waitFor(() => expect(read()).not.toEqual(older), waitOptions);
  const newer = read();
  store.put('verbenashunt-crashes', 'a', older);
  await vi.waitFor(() => expect(read()).toEqual(newer), waitOptions);
});
