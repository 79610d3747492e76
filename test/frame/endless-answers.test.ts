/** Bytes without end, in a head or a body, from a target: the connection is closed in time. */
import { createServer as createHttpServer } from 'node:http';
import {
  createServer, type AddressInfo, type Server, type Socket,
} from 'node:net';
import { afterEach, expect, test } from 'vitest';
import { createEngineTarget, HttpEngineOrderClient } from '@verbenashunt/agent';
import { SystemClock, TargetError } from '@verbenashunt/core';
import { operatorConfig } from '@verbenashunt/platform/stand-in';
import { createExchanger, exchangeOnce } from '@verbenashunt/wire';
import { startGatewayFixture, type GatewayFixture } from '../support/gateway-fixture.js';

const cleanups: (() => unknown)[] = [];

afterEach(async () => {
  await Promise.all(cleanups.splice(0).reverse().map((cleanup) => cleanup()));
});

/** Time in milliseconds within which an answer without end is given up. */
const giveUpMs = 2000;
/** Size of a piece in bytes that is sent again and again. */
const pieceBytes = 16 * 1024;
const ok = 'HTTP/1.1 200 OK\r\nrequest-id: endless\r\n';
const filler = 'x'.repeat(pieceBytes);

/** What comes first, and then without end. */
const endless: Record<string, [string, string]> = {
  'a status line': ['HTTP/1.1 200 ', filler],
  'header lines': [ok, `x-more: ${filler}\r\n`],
  'a header value': [`${ok}x-more: `, filler],
  'informational responses': ['', 'HTTP/1.1 103 Early Hints\r\nlink: x\r\n\r\n'.repeat(400)],
  'a body without a length': [`${ok}\r\n`, filler],
  'a chunked body': [`${ok}transfer-encoding: chunked\r\n\r\n`, `${pieceBytes.toString(16)}\r\n${filler}\r\n`],
  'a chunk extension': [`${ok}transfer-encoding: chunked\r\n\r\n5;`, filler],
  'a trailer': [`${ok}transfer-encoding: chunked\r\n\r\n0\r\n`, `x-more: ${filler}\r\n`],
  garbage: ['', filler],
};

/** Server that answers each request with these bytes until its connection is closed. */
async function startEndless([first, piece]: [string, string]) {
  const sockets = new Set<Socket>();
  const counts = { closed: 0 };
  const server: Server = createServer((socket) => {
    sockets.add(socket);
    socket.on('error', () => {});
    socket.on('close', () => {
      sockets.delete(socket);
      counts.closed += 1;
    });
    socket.once('data', () => {
      socket.write(first);
      const send = () => {
        while (!socket.destroyed && socket.write(piece));
      };
      socket.on('drain', send);
      send();
    });
  });
  await new Promise<void>((resolve) => {
    server.listen(0, '127.0.0.1', resolve);
  });
  cleanups.push(() => {
    sockets.forEach((socket) => socket.destroy());
    server.close();
  });
  return { address: `127.0.0.1:${(server.address() as AddressInfo).port}`, sockets, counts };
}

test.each(Object.entries(endless))('an exchange gives up on %s without end', async (_, bytes) => {
  const { address, sockets } = await startEndless(bytes);
  const exchanger = createExchanger({ connectTimeoutMs: 300, keepAliveMs: 1000 });
  cleanups.push(exchanger.close);
  const startedAt = performance.now();
  await expect(exchangeOnce(exchanger, address, {
    method: 'GET', path: '/', headers: ['Host', address], body: undefined,
  }, 60_000)).rejects.toThrow(TargetError);
  expect(performance.now() - startedAt).toBeLessThan(giveUpMs);
  await expect.poll(() => sockets.size, { timeout: giveUpMs }).toBe(0);
});

let fixture: GatewayFixture;

/** Wide latency bounds of streams, which admission would refuse when they are late. */
const routes = operatorConfig(1).routes.map((route) => (route.routeType === 'streaming'
  ? { ...route, targetLatencyMs: 8000, targetGapMs: 8000 }
  : route));

test.each(Object.entries(endless))('a call and a stream are served elsewhere after %s without end', async (_, bytes) => {
  const { address, sockets } = await startEndless(bytes);
  fixture = await startGatewayFixture({ apps: 1, pool: [[0, 8]], config: { routes } });
  cleanups.push(fixture.close);
  const [app, engine] = [fixture.apps[0]!, fixture.pool[0]!];
  fixture.store.put('servers', 'bad-app', { ...app.row('app'), address });
  fixture.store.put('servers', 'bad-engine', { ...engine.row('pool'), address });
  await new Promise((resolve) => {
    setTimeout(resolve, 500);
  });
  const startedAt = performance.now();
  const answers = await Promise.all([
    ...Array.from({ length: 6 }, () => fixture.call()),
    ...Array.from({ length: 6 }, () => fixture.stream({ headers: { 'request-deadline-ms': '8000' } })),
  ]);
  const served = answers.filter(({ status, isComplete }) => status === 200 && isComplete);
  expect(served).toHaveLength(answers.length);
  expect(performance.now() - startedAt).toBeLessThan(2 * giveUpMs);
  fixture.store.remove('servers', 'bad-app');
  fixture.store.remove('servers', 'bad-engine');
  await expect.poll(() => sockets.size, { timeout: 2 * giveUpMs }).toBe(0);
});

test('a status without end is no answer to the client of orders', async () => {
  const { address } = await startEndless(endless['a chunked body']!);
  const client = new HttpEngineOrderClient(`http://${address}`);
  cleanups.push(() => client.close());
  await expect(client.status()).rejects.toThrow(TargetError);
});

test('the connection of an engine whose status has no end is closed', async () => {
  const { address, counts } = await startEndless(endless['a chunked body']!);
  const target = createEngineTarget(`http://${address}`, new SystemClock(), {
    onOutput() {}, onUp() {}, onStatus() {}, onDown() {},
  });
  cleanups.push(() => target.close());
  await expect.poll(() => counts.closed, { timeout: giveUpMs }).toBeGreaterThan(0);
});

test('an engine whose output has a line without end is lost', async () => {
  const status = {
    loaded: [],
    accelerator: {
      kind: 'a', layerMsPerToken: 1, layerMsPerPrefillToken: 0, memoryLayers: 64,
    },
    active: 0,
    queued: 0,
    fencing: 0,
  };
  let closedStreams = 0;
  const server = createHttpServer((req, res) => {
    if (req.url === '/status') {
      res.end(JSON.stringify(status));
      return;
    }
    const send = () => {
      while (!res.destroyed && res.write(filler));
    };
    res.on('drain', send).on('close', () => {
      closedStreams += 1;
    });
    send();
  });
  await new Promise<void>((resolve) => {
    server.listen(0, '127.0.0.1', resolve);
  });
  cleanups.push(() => server.closeAllConnections(), () => server.close());
  const { port } = server.address() as AddressInfo;
  const target = createEngineTarget(`http://127.0.0.1:${port}`, new SystemClock(), {
    onOutput() {}, onUp() {}, onStatus() {}, onDown() {},
  });
  cleanups.push(() => target.close());
  await expect.poll(() => closedStreams, { timeout: 5 * giveUpMs }).toBeGreaterThan(0);
});
