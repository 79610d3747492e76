/** Calls whose answers come without a length or chunks, through an agent and an entry. */
import { createServer, type AddressInfo, type Socket } from 'node:net';
import { afterEach, expect, test } from 'vitest';
import { callerKey, startInProcessCluster, type InProcessCluster } from '../support/in-process.js';
import { callRaw } from '../support/raw-caller.js';

const cleanups: (() => unknown)[] = [];

afterEach(async () => {
  await Promise.all(cleanups.splice(0).reverse().map((cleanup) => cleanup()));
});

/** Time for the bytes before a reset to arrive, in milliseconds. */
const resetDelayMs = 20;
const body = 'the whole answer of the service';
const unframedHead = 'HTTP/1.1 200 OK\r\ncontent-type: text/plain\r\n\r\n';

/** Starts a cluster whose service answers with raw text, by `answer`. */
async function start(answer: (socket: Socket) => void): Promise<InProcessCluster> {
  const server = createServer((socket) => {
    socket.on('error', () => {}).on('data', () => answer(socket));
  });
  await new Promise<void>((resolve) => {
    server.listen(0, '127.0.0.1', resolve);
  });
  cleanups.push(() => server.close());
  const { port } = server.address() as AddressInfo;
  const cluster = await startInProcessCluster({}, {}, { serviceUrl: () => `http://127.0.0.1:${port}` });
  cleanups.push(cluster.stop);
  return cluster;
}

const call = ({ entry }: InProcessCluster, path: string) => callRaw(entry.httpPort, {
  path, headers: { authorization: `Bearer ${callerKey}`, 'idempotency-key': 'key' }, body: '{}',
});

const half = body.slice(0, body.length / 2);

test('half of an unframed answer before a reset is not taken for the whole one', async () => {
  const cluster = await start((socket) => {
    socket.write(unframedHead + half, () => {
      setTimeout(() => socket.resetAndDestroy(), resetDelayMs);
    });
  });
  const errorOf = async (path: string) => JSON.parse((await call(cluster, path)).body).error;
  expect(await errorOf('/payments')).toMatchObject({ code: 'outcome_unknown', ran: 'unknown' });
  expect(await errorOf('/any')).toMatchObject({ ran: 'unknown' });
});

test.each(['/payments', '/any'])('an unframed answer to %s is passed on without framing', async (path) => {
  const cluster = await start((socket) => {
    socket.end(unframedHead + body);
  });
  expect(await call(cluster, path)).toEqual({
    status: 200, framing: 'connection', body, isEnded: true,
  });
});

test('the answer that is kept for an idempotency key stays unframed', async () => {
  const cluster = await start((socket) => {
    socket.end(unframedHead + body);
  });
  await call(cluster, '/payments');
  expect(await call(cluster, '/payments')).toMatchObject({ framing: 'connection', body });
});

test('an answer without a body needs no framing', async () => {
  const cluster = await start((socket) => {
    socket.end('HTTP/1.1 204 No Content\r\n\r\n');
  });
  expect((await call(cluster, '/any')).status).toBe(204);
});

// Guards against a part of a head that passes for a whole answer with an empty or short body.
test('an answer that ends in its head is none, wherever it is cut', async () => {
  const text = 'HTTP/1.1 200 OK\r\ncontent-type: text/plain\r\ncontent-length: 31\r\n\r\n';
  let length = 0;
  const cluster = await start((socket) => {
    length += 12;
    socket.end(text.slice(0, length));
  });
  const cuts = Array.from({ length: Math.ceil(text.length / 12) });
  const statuses: number[] = [];
  await cuts.reduce(async (before: Promise<void>) => {
    await before;
    statuses.push((await call(cluster, '/any')).status);
  }, Promise.resolve());
  expect(statuses.filter((status) => status < 500)).toEqual([]);
});
