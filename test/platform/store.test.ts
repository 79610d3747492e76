/** The row store's client, also with faults of the store. */
import { createServer, type Server } from 'node:http';
import type { AddressInfo } from 'node:net';
import {
  afterEach, beforeEach, expect, test, vi,
} from 'vitest';
import {
  ConflictError, HistoryLostError, PlatformError, PlatformRateError,
} from '@verbenashunt/core';
import { createPlatformPorts } from '@verbenashunt/platform';
import { startStore, type StoreStandIn } from '@verbenashunt/platform/stand-in';
import { createRelay } from '../support/relay.js';

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
