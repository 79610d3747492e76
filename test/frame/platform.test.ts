/** The platform client under faults of the platform stand-in, and the network link stand-in. */
import { createServer, connect, type AddressInfo } from 'node:net';
import { createServer as createHttpServer } from 'node:http';
import { request } from 'undici';
import {
  afterAll, beforeAll, expect, test,
} from 'vitest';
import { PlatformError, PlatformRateError } from '@verbenashunt/core';
import { startLink, startPlatform, type StandIn } from '@verbenashunt/stand-ins';
import { createPlatformClient, type PlatformClient } from '@verbenashunt/wire';

const host = '127.0.0.1';

let platform: StandIn;
let client: PlatformClient;

beforeAll(async () => {
  platform = await startPlatform({ host, port: 0, vms: [] });
  client = createPlatformClient(platform.url);
});

afterAll(async () => {
  await client.close();
  await platform.close();
});

const setFaults = async (faults: object) => {
  const res = await request(`${platform.url}/faults`, { method: 'POST', body: JSON.stringify(faults) });
  await res.body.dump();
};
const put = (table: string) => client.transact({
  conditions: [{ table, key: 'k', version: 0 }], puts: [{ table, key: 'k', value: 'v' }],
});

test('an outage of one table does not affect others', async () => {
  await setFaults({ tables: { down: { outage: true } } });
  await expect(put('down')).rejects.toBeInstanceOf(PlatformError);
  await put('up');
  expect(await client.get('up', 'k')).toMatchObject({ value: 'v', version: 1 });
  await expect(client.get('down', 'k')).rejects.toBeInstanceOf(PlatformError);
  await setFaults({ tables: {} });
  expect(await client.get('down', 'k')).toBeUndefined();
});

test('a write whose response is lost is rejected but takes effect', async () => {
  await setFaults({ tables: { lossy: { dropResponses: 1 } } });
  await expect(put('lossy')).rejects.toBeInstanceOf(PlatformError);
  expect(await client.get('lossy', 'k')).toMatchObject({ value: 'v' });
});

test('a write over the rate limit is rejected and has no effect', async () => {
  await setFaults({ writesPerSecond: 0 });
  await expect(put('rated')).rejects.toBeInstanceOf(PlatformRateError);
  await setFaults({ writesPerSecond: 600 });
  expect(await client.get('rated', 'k')).toBeUndefined();
});

test('half of an object without a length or chunks is not taken for the whole one', async () => {
  const server = createServer((socket) => socket.once('data', () => socket.end('HTTP/1.1 200 OK\r\n\r\nhalf of an obj')));
  await new Promise<void>((resolve) => {
    server.listen(0, host, resolve);
  });
  const { port } = server.address() as AddressInfo;
  const other = createPlatformClient(`http://${host}:${port}`);
  await expect(other.getObject('object')).rejects.toBeInstanceOf(PlatformError);
  await other.close();
  server.close();
});

test.each([
  ['text that is not JSON', 200, '<html>'],
  ['JSON that does not match the schema', 200, '{"rows":1}'],
  ['an unknown path', 404, '{}'],
])('an invalid response from the platform is rejected: %s', async (_, status, text) => {
  const server = createHttpServer((__, res) => {
    res.writeHead(status);
    res.end(text);
  });
  await new Promise<void>((resolve) => {
    server.listen(0, host, resolve);
  });
  const invalidPlatform = createPlatformClient(`http://${host}:${(server.address() as AddressInfo).port}`);
  await expect(invalidPlatform.listVms()).rejects.toBeInstanceOf(PlatformError);
  if (status === 404) {
    const write = invalidPlatform.transact({ conditions: [], puts: [] });
    await expect(write).rejects.toBeInstanceOf(PlatformError);
  }
  await invalidPlatform.close();
  server.close();
});

test('a link delays data, limits its rate and keeps its order', async () => {
  const bytes = 50_000;
  const echo = createServer((socket) => socket.pipe(socket));
  await new Promise<void>((resolve) => {
    echo.listen(0, host, resolve);
  });
  const link = await startLink({
    host,
    port: 0,
    targetHost: host,
    targetPort: (echo.address() as AddressInfo).port,
    delayMs: 30,
    bytesPerSecond: 500_000,
    silent: false,
  });
  const sent = Buffer.from(Array.from({ length: bytes }, (_, i) => i % 251));
  const socket = connect(link.port, host);
  const chunks: Buffer[] = [];
  const startedAt = performance.now();
  socket.end(sent);
  await new Promise((resolve) => {
    socket.on('data', (chunk: Buffer) => {
      chunks.push(chunk);
      if (Buffer.concat(chunks).length === bytes) resolve(undefined);
    });
  });
  // Timers may fire up to a millisecond early.
  const minElapsedMs = 2 * 29 + (bytes / 500_000) * 1000;
  expect(performance.now() - startedAt).toBeGreaterThan(minElapsedMs);
  expect(Buffer.concat(chunks).equals(sent)).toBe(true);
  socket.destroy();
  await link.close();
  echo.close();
});

test.each([
  ['a port out of range', '"port":99999'],
  ['a number that is too large', '"port":1e400'],
  ['a deeply nested field', `"zone":${'['.repeat(50_000)}${']'.repeat(50_000)}`],
  ['an unknown field', '"more":1'],
])('an entry of the VM list with %s is ignored, and the others are listed', async (_, odd) => {
  const vm = {
    id: 'a', role: 'agent', zone: 'z', region: 'r', host, port: 1, state: 'live',
  };
  const oddVm = `${JSON.stringify({ ...vm, id: 'odd' }).slice(0, -1)},${odd}}`;
  const server = createHttpServer((_req, res) => {
    res.end(`{"vms":[${oddVm},${JSON.stringify(vm)},null]}`);
  });
  await new Promise<void>((resolve) => {
    server.listen(0, host, resolve);
  });
  const counts: number[] = [];
  const oddPlatform = createPlatformClient(`http://${host}:${(server.address() as AddressInfo).port}`, {
    onInvalidVms: (count) => counts.push(count),
  });
  expect(await oddPlatform.listVms()).toEqual([vm]);
  await oddPlatform.listVms();
  expect(counts).toEqual([2]);
  await oddPlatform.close();
  server.close();
});
