/** Resets that arrive together with the last bytes before them. */
import {
  connect, createServer, type AddressInfo, type Socket,
} from 'node:net';
import { afterEach, expect, test } from 'vitest';
import { TargetError } from '@verbenashunt/core';
import { createExchanger, exchangeOnce, wasReset } from '@verbenashunt/wire';

const cleanups: (() => unknown)[] = [];

afterEach(async () => {
  await Promise.all(cleanups.splice(0).map((cleanup) => cleanup()));
});

const count = 40;
const answer = 'HTTP/1.1 200 OK\r\n\r\nhalf of a body';

/** Starts a server that sends an answer without a length, and ends each connection by `end`. */
async function start(end: (socket: Socket) => void): Promise<string> {
  const server = createServer((socket) => {
    socket.on('error', () => {}).once('data', () => socket.write(answer, () => end(socket)));
  });
  await new Promise<void>((resolve) => {
    server.listen(0, '127.0.0.1', resolve);
  });
  cleanups.push(() => server.close());
  return `127.0.0.1:${(server.address() as AddressInfo).port}`;
}

function fetchMany(address: string) {
  const exchanger = createExchanger({ connectTimeoutMs: 300, keepAliveMs: 1000 });
  cleanups.push(exchanger.close);
  return Promise.allSettled(Array.from({ length: count }, () => exchangeOnce(exchanger, address, {
    method: 'GET', path: '/', headers: ['Host', address], body: undefined,
  }, 5000)));
}

test('an unframed answer whose reset arrives together with its bytes is not complete', async () => {
  const results = await fetchMany(await start((socket) => socket.resetAndDestroy()));
  const errors = results.map((result) => result.status === 'rejected' && result.reason);
  expect(errors.filter((err) => err instanceof TargetError)).toHaveLength(count);
});

test('an unframed answer that ends in order is complete', async () => {
  const results = await fetchMany(await start((socket) => socket.end()));
  expect(results.filter(({ status }) => status === 'fulfilled')).toHaveLength(count);
});

/** Reads to the end while the event loop is blocked; resolves to whether it was a reset. */
const readToEnd = (address: string) => new Promise<boolean>((resolve) => {
  const [host, port] = address.split(':');
  const socket = connect({ host: host!, port: Number(port) }, () => socket.write('x'));
  let isReset = true;
  socket.on('end', () => {
    isReset = wasReset(socket);
  });
  socket.on('error', () => {}).on('close', () => resolve(isReset)).resume();
});

test.each([
  ['a reset', true, (socket: Socket) => socket.resetAndDestroy()],
  ['an orderly end', false, (socket: Socket) => socket.end()],
] as const)('%s is recognised, whatever Node reports', async (_, isReset, end) => {
  const address = await start(end);
  const seen = await Promise.all(Array.from({ length: count }, () => readToEnd(address)));
  expect(seen).toEqual(Array(count).fill(isReset));
});
