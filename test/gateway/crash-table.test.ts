/** Crashes that one entry records, as the other entries hear of them. */
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

async function begin() {
  const store = await startStore();
  closers.push(store.close);
  return store;
}

function join(store: StoreStandIn, node: string) {
  const heard: string[] = [];
  const client = createPlatformPorts(store.address).store;
  const table = createCrashTable({
    clock: new SystemClock(),
    random: () => 0.5,
    log: pino({ level: 'silent' }),
    store: client,
    node,
    onCrash: (target) => heard.push(target),
  });
  closers.push(client.close, table.close);
  return { table, heard };
}

const within = { timeout: 5000, interval: 10 };

test('the other entries hear of a crash soon, and once', async () => {
  const store = await begin();
  const [a, b] = [join(store, 'a'), join(store, 'b')];
  // Both follow the table by then.
  await vi.waitFor(() => expect(store.calls.get('/api/rows-feed') ?? 0).toBeGreaterThan(1), within);
  a.table.crashed({ target: 'target-1.5', fingerprints: [] });
  await vi.waitFor(() => expect(b.heard).toEqual(['target-1.5']), within);
  a.table.crashed({ target: 'target-2.5', fingerprints: ['f'] });
  await vi.waitFor(() => expect(b.heard).toEqual(['target-1.5', 'target-2.5']), within);
  expect(b.table.targetsOf('f')).toEqual(['target-2.5']);
  expect(a.heard).toEqual([]);
});

test('what could not be written is written once the store answers', async () => {
  const store = await begin();
  const [a, b] = [join(store, 'a'), join(store, 'b')];
  store.fault = 'busy';
  a.table.crashed({ target: 'target-1.5', fingerprints: ['f'] });
  await vi.waitFor(() => expect(store.calls.get('/api/rows-tx') ?? 0).toBeGreaterThan(1), within);
  store.fault = 'none';
  await vi.waitFor(() => expect(b.heard).toEqual(['target-1.5']), within);
});

test('a process that starts again goes on from its row', async () => {
  const store = await begin();
  const a = join(store, 'a');
  a.table.crashed({ target: 'target-1.5', fingerprints: ['f'] });
  await vi.waitFor(() => expect(store.read('verbenashunt-crashes', 'a')).toBeDefined(), within);
  a.table.close();
  const again = join(store, 'a');
  await vi.waitFor(() => expect(again.table.targetsOf('f')).toEqual(['target-1.5']), within);
  again.table.crashed({ target: 'target-2.5', fingerprints: ['f'] });
  await vi.waitFor(() => expect(store.read('verbenashunt-crashes', 'a')).toMatchObject({
    crashes: [{ target: 'target-1.5' }, { target: 'target-2.5' }],
  }), within);
});
