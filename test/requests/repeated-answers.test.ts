/** Late second copies of answers, written on a connection before the next answer. */
import { createServer, type AddressInfo, type Socket } from 'node:net';
import { afterEach, expect, test } from 'vitest';
import { createServiceTarget, HttpEngineOrderClient } from '@verbenashunt/agent';
import type { EngineOrder } from '@verbenashunt/schema';

const cleanups: (() => unknown)[] = [];

afterEach(async () => {
  await Promise.all(cleanups.splice(0).reverse().map((cleanup) => cleanup()));
});

/** Server that repeats the last answer of a connection before each further one. */
async function startRepeating(answerTo: (request: string) => string): Promise<string> {
  const sockets = new Map<Socket, string>();
  const server = createServer((socket) => {
    sockets.set(socket, '');
    socket.on('error', () => {}).on('data', (bytes) => {
      const answer = answerTo(bytes.toString());
      socket.write(sockets.get(socket)! + answer);
      sockets.set(socket, answer);
    });
  });
  await new Promise<void>((resolve) => {
    server.listen(0, '127.0.0.1', resolve);
  });
  cleanups.push(() => {
    server.close();
    [...sockets.keys()].forEach((socket) => socket.destroy());
  });
  return `http://127.0.0.1:${(server.address() as AddressInfo).port}`;
}

const answerOf = (status: string, body: string) => `HTTP/1.1 ${status}\r\ncontent-length: ${body.length}\r\n\r\n${body}`;

test.each([true, false])('a call does not get the answer of an earlier one from a service, repeatable: %s', async (repeatable) => {
  const url = await startRepeating((request) => answerOf('200 OK', request.split(' ')[1]!));
  const service = createServiceTarget(url);
  cleanups.push(service.close);
  for (let i = 0; i < 5; i += 1) {
    const { body } = await service.call({
      req: `r-${i}`, attempt: 0, method: 'GET', path: `/item-${i}`, headers: {}, body: '', timeLeftMs: 1000, repeatable,
    } as Parameters<typeof service.call>[0], new AbortController().signal);
    expect(Buffer.from(body, 'base64').toString()).toBe(`/item-${i}`);
    await new Promise(setImmediate);
  }
});

test('an order is not taken as refused because of a second copy of an earlier refusal', async () => {
  let isRefusing = true;
  const url = await startRepeating(() => answerOf(isRefusing ? '409 Conflict' : '200 OK', '{}'));
  const client = new HttpEngineOrderClient(url);
  cleanups.push(() => client.close());
  const order = { fence: 1 } as unknown as EngineOrder;
  expect(await client.order(order)).toBe(false);
  isRefusing = false;
  expect(await client.order(order)).toBe(true);
});
