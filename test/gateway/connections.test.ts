/** Connections that are used more than once: no caller gets an answer that is not its own. */
import {
  connect, createServer, type AddressInfo, type Socket,
} from 'node:net';
import { afterEach, expect, test } from 'vitest';
import { ConflictError } from '@verbenashunt/core';
import { createPlatformPorts } from '@verbenashunt/platform';
import { operatorConfig } from '@verbenashunt/platform/stand-in';
import { startGatewayFixture, type GatewayFixture, type GatewayFixtureOptions } from '../support/gateway-fixture.js';
import { wait } from '../support/timing.js';

const cleanups: (() => unknown)[] = [];

afterEach(async () => {
  await Promise.all(cleanups.splice(0).reverse().map((cleanup) => cleanup()));
});

async function start(options?: GatewayFixtureOptions): Promise<GatewayFixture> {
  const fixture = await startGatewayFixture(options);
  cleanups.push(fixture.close);
  return fixture;
}
const idOf = (request: string) => /request-id: (\S+)/i.exec(request)?.[1] ?? 'none';

interface RawTarget {
  address: string;
  /** Number of connections that were opened. */
  connections: number;
}

/** Target whose answers are raw text; `answer` gets the requests of one connection in order. */
async function startRawTarget(answer: (socket: Socket, request: string) => void) {
  const sockets = new Set<Socket>();
  const target: RawTarget = { address: '', connections: 0 };
  const server = createServer((socket) => {
    target.connections += 1;
    sockets.add(socket);
    socket.on('error', () => {}).on('data', (text) => answer(socket, text.toString('latin1')));
  });
  await new Promise<void>((resolve) => {
    server.listen(0, '127.0.0.1', resolve);
  });
  cleanups.push(() => {
    sockets.forEach((socket) => socket.destroy());
    server.close();
  });
  target.address = `127.0.0.1:${(server.address() as AddressInfo).port}`;
  return target;
}

const framed = (id: string, body: string, more = '') => `HTTP/1.1 200 OK\r\n${id === '' ? '' : `request-id: ${id}\r\n`}${more}content-length: ${body.length}\r\n\r\n${body}`;
const chunked = (id: string, body: string) => `HTTP/1.1 200 OK\r\nrequest-id: ${id}\r\ntransfer-encoding: chunked\r\n\r\n${body.length.toString(16)}\r\n${body}\r\n0\r\n\r\n`;
const unframed = (id: string, body: string) => `HTTP/1.1 200 OK\r\nrequest-id: ${id}\r\n\r\n${body}`;

const ownBody = (id: string) => `own answer of ${id}`;

/** What a target sends for a request with an id, and what it sends late, before the next answer. */
const answers: Record<string, (id: string, last: string | undefined) => string> = {
  'a second copy right after the answer': (id) => framed(id, ownBody(id)) + framed(id, ownBody(id)),
  'a second copy before the next answer': (id, last) => (last === undefined ? '' : framed(last, ownBody(last))) + framed(id, ownBody(id)),
  'a chunked second copy before the next answer': (id, last) => (last === undefined ? '' : chunked(last, ownBody(last))) + chunked(id, ownBody(id)),
  'a second copy without an id before the next answer': (id, last) => (last === undefined ? '' : framed('', ownBody(last))) + framed(id, ownBody(id)),
  'an early answer and then a copy of the last one': (id, last) => `HTTP/1.1 103 Early Hints\r\nrequest-id: ${id}\r\n\r\n${framed(last ?? id, ownBody(last ?? id))}`,
  'two ids, the own one first': (id, last) => framed(id, ownBody(last ?? id), `request-id: ${last ?? id}\r\n`),
  'two ids, the own one last': (id, last) => framed(last ?? id, ownBody(last ?? id), `request-id: ${id}\r\n`),
  'a longer body than announced': (id) => `${framed(id, ownBody(id))}more`,
  'a copy without a length': (id, last) => (last === undefined ? framed(id, ownBody(id)) : unframed(last, ownBody(last))),
};

test.each(Object.entries(answers))('no caller gets the answer to another request from a target that sends %s', async (_, textOf) => {
  const { call, store, apps } = await start({ apps: 1 });
  const lastIds = new Map<Socket, string>();
  const raw = await startRawTarget((socket, request) => {
    const id = idOf(request);
    socket.write(textOf(id, lastIds.get(socket)));
    lastIds.set(socket, id);
  });
  store.put('servers', 'copies', { ...apps[0]!.row('app'), address: raw.address });
  store.remove('servers', apps[0]!.id);
  await wait(400);
  // One after the other, so that connections are used again.
  for (let i = 0; i < 20; i += 1) {
    const id = `caller-${i}`;
    const { status, body } = await call({ headers: { 'request-id': id } });
    if (status === 200) expect(body).toBe(ownBody(id));
    else expect(JSON.parse(body).error.ran).toBe('unknown');
  }
  expect(raw.connections).toBeGreaterThan(0);
});

test.each([
  ['without an id', () => ''],
  ['with the id of the refused request', (id: string) => `request-id: ${id}\r\n`],
])('no request is sent on a connection on which a refusal %s may come once more', async (_, idLine) => {
  const { call, store, apps } = await start({ apps: 1 });
  const refusals = new Map<Socket, string>();
  const ran: string[] = [];
  const raw = await startRawTarget((socket, request) => {
    const id = idOf(request);
    const copy = refusals.get(socket);
    if (copy !== undefined) ran.push(id);
    const refusal = `HTTP/1.1 503 Full\r\n${idLine(id)}not-executed: 1\r\ncontent-length: 0\r\n\r\n`;
    refusals.set(socket, refusal);
    socket.write(copy === undefined ? refusal : copy + framed(id, ownBody(id)));
  });
  store.put('servers', 'copies', { ...apps[0]!.row('app'), address: raw.address });
  store.remove('servers', apps[0]!.id);
  await wait(400);
  for (let i = 0; i < 10; i += 1) await call();
  expect(refusals.size).toBeGreaterThan(9);
  expect(ran).toEqual([]);
});

test('a late second copy of a report is not taken as the answer to an order', async () => {
  const orders: string[] = [];
  const reported = new WeakSet<Socket>();
  const report = JSON.stringify({
    busy: false, sequence: 0, layers: null, routeType: 'card',
  });
  const raw = await startRawTarget((socket, request) => {
    if (request.startsWith('POST /api/order')) {
      orders.push(request);
      const copy = reported.has(socket) ? framed('', report) : '';
      socket.write(`${copy}HTTP/1.1 409 Conflict\r\ncontent-length: 0\r\n\r\n`);
    } else {
      reported.add(socket);
      socket.write(framed('', report));
    }
  });
  const { store, pool } = await start({ apps: 1, pool: [[0, 4]] });
  store.put('servers', 'copies', { ...pool[0]!.row('pool'), address: raw.address, layers: null });
  // An order that is taken as done is not sent again before its layers should be loaded.
  await expect.poll(() => orders.length, { timeout: 3500 }).toBeGreaterThan(2);
});

test('a late second copy of the answer to a write is not taken as that to the next write', async () => {
  const written = new WeakSet<Socket>();
  const answer = framed('', JSON.stringify({ schemaVersion: 7 }));
  let writes = 0;
  const raw = await startRawTarget((socket) => {
    writes += 1;
    if (writes === 1) {
      written.add(socket);
      socket.write(answer);
      return;
    }
    socket.write(`${written.has(socket) ? answer : ''}HTTP/1.1 412 Failed\r\ncontent-length: 2\r\n\r\n{}`);
  });
  const { store } = createPlatformPorts(raw.address);
  cleanups.push(store.close);
  await store.write({ expect: [], put: [] });
  await wait(20);
  await expect(store.write({ expect: [], put: [] })).rejects.toThrow(ConflictError);
});

/** Sends raw text, and more of it later; resolves to all that came back until the close. */
function sendRaw(port: number, text: string, laterText = ''): Promise<string> {
  return new Promise((resolve) => {
    let received = '';
    const socket = connect(port, '127.0.0.1');
    socket.on('error', () => {}).on('close', () => resolve(received));
    socket.on('data', (part) => {
      received += part.toString('latin1');
    });
    socket.write(text);
    setTimeout(() => socket.write(laterText), 200);
  });
}

const head = (id: string, path = '/read/a', method = 'GET', more = '') => `${method} ${path} HTTP/1.1\r\nhost: app.example\r\nrequest-id: ${id}\r\nrequest-deadline-ms: 1500\r\nauthorization: Bearer key-1\r\n${more}\r\n`;

test.each([
  ['bytes that are not HTTP', '\u0001\u0002 garbage\r\n\r\n'],
  ['half a header that never ends', 'GET /read/b HTTP/1.1\r\nhost: app'],
])('a request that runs is not answered as not run because of %s behind it', async (_, rest) => {
  const limits = { ...operatorConfig(1).limits, headerTimeoutMs: 300 };
  const setup = await start({ apps: 1, config: { limits } });
  setup.apps[0]!.behaviour = 'silent';
  const received = sendRaw(
    setup.gateway.ports.front,
    head('runs', '/write/a', 'POST', 'content-length: 0\r\n'),
    rest,
  );
  await expect.poll(() => setup.apps[0]!.ran.length).toBe(1);
  const text = await received;
  expect(text).not.toMatch(/"ran":"no"/);
  expect(text).not.toMatch(/^HTTP\/1\.1 4/);
});

test('answers to requests that were sent at once on one connection come in order', async () => {
  const setup = await start({ apps: 2 });
  const received = sendRaw(
    setup.gateway.ports.front,
    head('first', '/none/a') + head('second') + head('third', '/none/b') + head('fourth', '/read/a', 'GET', 'connection: close\r\n'),
  );
  const text = await received;
  expect(text.match(/HTTP\/1\.1 \d+/g)).toEqual(['HTTP/1.1 404', 'HTTP/1.1 200', 'HTTP/1.1 404', 'HTTP/1.1 200']);
  expect(text.match(/request-id: \S+/g)).toEqual(['first', 'second', 'third', 'fourth'].map((id) => `request-id: ${id}`));
});
