/** The client of the platform's object store, also with faults of the store. */
import { createServer, type AddressInfo } from 'node:net';
import {
  afterEach, beforeEach, expect, test,
} from 'vitest';
import { ConflictError, PlatformError, PlatformRateError } from '@verbenashunt/core';
import { createObjectStore, type ObjectStore } from '@verbenashunt/platform';
import { startStore, type StoreStandIn } from '@verbenashunt/platform/stand-in';

let store: StoreStandIn;
let client: ObjectStore;

beforeEach(async () => {
  store = await startStore();
  client = createObjectStore(store.address);
});

afterEach(async () => {
  client.close();
  await store.close();
});

test('writes, reads, lists and deletes an object', async () => {
  const bytes = Buffer.from([0, 255, 10, 13]);
  await client.put('a/b c', bytes);
  expect(await client.get('a/b c')).toEqual(bytes);
  expect(await client.list('a/')).toEqual(['a/b c']);
  await client.delete('a/b c');
  expect(await client.get('a/b c')).toBeUndefined();
  await client.delete('a/b c');
});

test('isNew does not replace an object of the same name', async () => {
  await client.put('a', Buffer.from('1'), { isNew: true });
  await expect(client.put('a', Buffer.from('2'), { isNew: true })).rejects.toThrow(ConflictError);
  expect(String(await client.get('a'))).toBe('1');
});

test('lists more names than fit on one page', async () => {
  Array.from({ length: 2100 }, (_, i) => store.objects.set(`n${String(i).padStart(4, '0')}`, Buffer.alloc(0)));
  store.objects.set('other', Buffer.alloc(0));
  const names = await client.list('n');
  expect([names.length, new Set(names).size]).toEqual([2100, 2100]);
});

test.each([
  ['busy', PlatformRateError], ['limit', PlatformRateError], ['lose', PlatformError], ['silent', PlatformError],
] as const)('put with the store fault "%s" rejects with the right error', async (fault, error) => {
  store.fault = fault;
  const err = await client.put('a', Buffer.from('1')).catch((reason: Error) => reason);
  expect(err).toBeInstanceOf(error);
  expect(err instanceof PlatformRateError).toBe(error === PlatformRateError);
});

test('half of an object that came without a length is not taken for all of it', async () => {
  const server = createServer((socket) => socket.once('data', () => {
    socket.end('HTTP/1.1 200 OK\r\n\r\nhalf of the obj');
  }));
  await new Promise<void>((resolve) => {
    server.listen(0, '127.0.0.1', resolve);
  });
  const other = createObjectStore(`127.0.0.1:${(server.address() as AddressInfo).port}`);
  await expect(other.get('a')).rejects.toThrow(PlatformError);
  other.close();
  server.close();
});
