/** Targets that stop in the middle of the head of an answer, or right after it, and close. */
import { createServer, type AddressInfo, type Socket } from 'node:net';
import { afterEach, expect, test } from 'vitest';
import { startGatewayFixture, streamHeaders, type GatewayFixture } from '../support/gateway-fixture.js';
import { callRaw } from '../support/raw-caller.js';

const cleanups: (() => unknown)[] = [];
let fixture: GatewayFixture;
/** Ids of the requests that the raw target has received. */
let received: string[] = [];

afterEach(async () => {
  await fixture.close();
  cleanups.splice(0).forEach((cleanup) => cleanup());
});

type Answer = (requestId: string, socket: Socket) => void;

/** Starts a target that answers each request but those for its report with raw text. */
async function startRawTarget(answer: Answer) {
  const server = createServer((socket) => {
    socket.on('error', () => {}).on('data', (text) => {
      const report = JSON.stringify({
        busy: false, sequence: 0, layers: { from: 0, to: 8 }, routeType: 'card',
      });
      if (String(text).startsWith('GET /api/report')) socket.write(`HTTP/1.1 200 OK\r\ncontent-length: ${report.length}\r\n\r\n${report}`);
      else {
        const id = /request-id: (\S+)/i.exec(String(text))?.[1] ?? '';
        received.push(id);
        answer(id, socket);
      }
    });
  });
  await new Promise<void>((resolve) => {
    server.listen(0, '127.0.0.1', resolve);
  });
  cleanups.push(() => server.close());
  return `127.0.0.1:${(server.address() as AddressInfo).port}`;
}

/** Starts a gateway whose only target is a raw one. */
async function start(answer: Answer) {
  received = [];
  const address = await startRawTarget(answer);
  fixture = await startGatewayFixture({ apps: 1, pool: [[0, 8]] });
  const [app, engine] = [fixture.apps[0]!, fixture.pool[0]!];
  fixture.store.put('servers', 'raw-app', { ...app.row('app'), address });
  fixture.store.put('servers', 'raw-engine', { ...engine.row('pool'), address });
  fixture.store.remove('servers', app.id);
  fixture.store.remove('servers', engine.id);
  await new Promise((resolve) => {
    setTimeout(resolve, 300);
  });
}

let sequence = 0;

function call(path: string) {
  sequence += 1;
  return callRaw(fixture.gateway.ports.front, {
    path,
    headers: {
      ...(path.startsWith('/chat') || path.startsWith('/once') ? streamHeaders : {}),
      'request-id': `cut-${sequence}`,
      'request-deadline-ms': '700',
      authorization: 'Bearer key-1',
    },
    body: 'body',
  });
}

const stamped = (id: string) => `request-id: ${id}\r\nserver-stamp: stamp.raw\r\n`;
const heads: Record<string, (id: string) => string> = {
  'a length': (id) => `HTTP/1.1 200 OK\r\n${stamped(id)}content-length: 20\r\n\r\n`,
  chunks: (id) => `HTTP/1.1 200 OK\r\n${stamped(id)}transfer-encoding: chunked\r\n\r\n`,
  'no length': (id) => `HTTP/1.1 200 OK\r\n${stamped(id)}connection: close\r\n\r\n`,
  'an informational head': (id) => `HTTP/1.1 103 Early Hints\r\n${stamped(id)}connection: close\r\n\r\nHTTP/1.1 200 OK\r\n${stamped(id)}connection: close\r\n\r\n`,
};
const paths = ['/read/a', '/write/a', '/chat/x', '/once/x'];

// Guards against a part of a head that passes for a whole answer with an empty or short body.
test.each(Object.entries(heads))('no answer that ends in its head is a success: a head with %s', async (_, head) => {
  const cuts = Array.from({ length: 8 }, (__, i) => (i + 1) / 9);
  let cut = 0;
  await start((id, socket) => {
    const text = head(id);
    socket.end(text.slice(0, Math.floor(cut * text.length)));
  });
  const statuses: number[] = [];
  await cuts.reduce(async (before, next) => {
    await before;
    cut = next;
    const answers = await Promise.all(paths.map(call));
    statuses.push(...answers.map(({ status }) => status));
  }, Promise.resolve());
  expect(statuses.filter((status) => status < 500)).toEqual([]);
  expect(new Set(received).size).toBeGreaterThan(cuts.length);
});

test('an answer without a byte of the length that its head states is no success', async () => {
  await start((id, socket) => socket.end(heads['a length']!(id)));
  const answers = await Promise.all(paths.map(call));
  expect(answers.filter(({ status, isEnded }) => status < 500 && isEnded)).toEqual([]);
});

// Guards against an end of a second run in its head that passes for the end of the stream.
test('a stream whose second run ends in the head of its answer does not look whole', async () => {
  await start((id, socket) => {
    const isNew = received.length === 1;
    const text = heads.chunks!(id);
    const event = 'id: 1\ndata: a\n\n';
    if (isNew) socket.end(`${text}${event.length.toString(16)}\r\n${event}\r\n`);
    else socket.end(text.slice(0, text.length / 2));
  });
  expect(await call('/chat/x')).toMatchObject({ status: 200, isEnded: false });
  expect(received.length).toBeGreaterThan(1);
});
