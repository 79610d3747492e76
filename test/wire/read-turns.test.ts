/**
 * Connections that send very many small parts are read in turns, so that some hundred of them do
 * not keep all others waiting, and all are read to their end.
 */
import type { AddressInfo } from 'node:net';
import { once } from 'node:events';
import { afterEach, expect, test } from 'vitest';
import { createBodyReader, createHttpListener, createRequestMemory } from '@verbenashunt/wire';
import { openCrowd } from '../support/crowd.js';
import { chunkOf, distinctLines } from '../support/hostile-requests.js';

const readBytes = 64 * 1024;
const timeoutMs = 600_000;
const cleanups: (() => void)[] = [];

afterEach(() => cleanups.splice(0).forEach((cleanup) => cleanup()));

/**
 * Starts a server that answers each request when its body is complete. Counts the parts of bodies
 * and the header lines that arrive in each turn of the event loop over those of one read.
 */
async function start(itemsOfRead: number) {
  const memory = createRequestMemory({ maxBufferedBytes: 64 * 1024 * 1024 });
  const readBody = createBodyReader(memory);
  const listener = createHttpListener({
    memory,
    maxConnections: 100,
    maxHeaderBytes: 64 * 1024,
    headerTimeoutMs: timeoutMs,
    bodyTimeoutMs: timeoutMs,
    keepAliveTimeoutMs: timeoutMs,
    streamStallTimeoutMs: timeoutMs,
  });
  const counts = { items: 0, excess: 0 };
  listener.server.on('request', async (req, res) => {
    counts.items += req.rawHeaders.length / 2;
    req.on('data', () => {
      counts.items += 1;
    });
    const { length } = await readBody(req, { maxBytes: 1024 * 1024 });
    res.end(String(length));
  });
  const count = () => {
    counts.excess += Math.max(0, counts.items - itemsOfRead);
    counts.items = 0;
    if (listener.server.listening) setImmediate(count);
  };
  listener.server.listen(0, '127.0.0.1', count);
  await once(listener.server, 'listening');
  cleanups.push(() => {
    listener.server.close();
    listener.destroy();
  });
  return { port: (listener.server.address() as AddressInfo).port, counts };
}

/**
 * Checks that in each turn at most one connection was read, but for the first two reads of each:
 * what the first one brought of a body is handed over only after it.
 */
async function expectTurns(itemsOfRead: number, text: string) {
  const { port, counts } = await start(itemsOfRead);
  const connections = 12;
  const crowd = await openCrowd({ port, connections, text });
  cleanups.push(crowd.close);
  await expect.poll(() => crowd.statuses.length, { timeout: 50_000 }).toBe(connections);
  expect(new Set(crowd.statuses)).toEqual(new Set([200]));
  expect(counts.excess).toBeLessThan((2 * connections + 1) * itemsOfRead);
}

test('bodies of one-byte chunks are read in turns', async () => {
  const chunk = chunkOf('a');
  const head = 'POST / HTTP/1.1\r\nhost: x\r\ntransfer-encoding: chunked\r\n\r\n';
  await expectTurns(readBytes / chunk.length + 10, `${head}${chunk.repeat(60_000)}0\r\n\r\n`);
}, 60_000);

test('requests with very many header lines are read in turns', async () => {
  const lines = distinctLines(2000);
  const head = `GET / HTTP/1.1\r\nhost: x\r\n${lines.join('\r\n')}\r\n\r\n`;
  await expectTurns((readBytes / head.length + 1) * (lines.length + 1), head.repeat(60));
}, 60_000);
