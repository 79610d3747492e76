/** The client's view of answers whose connection ends in their head, at each byte of it. */
import { createServer, type AddressInfo } from 'node:net';
import { afterEach, expect, test } from 'vitest';
import { createExchanger } from '@verbenashunt/wire';

const cleanups: (() => unknown)[] = [];

afterEach(() => cleanups.splice(0).forEach((cleanup) => cleanup()));

const heads = {
  'a length': 'HTTP/1.1 200 OK\r\nrequest-id: r\r\ncontent-length: 20\r\n\r\n',
  'no length': 'HTTP/1.1 200 OK\r\nconnection: close\r\nrequest-id: r\r\n\r\n',
  'an informational head': 'HTTP/1.1 103 Early Hints\r\nlink: x\r\n\r\nHTTP/1.1 200 OK\r\nconnection: close\r\n\r\n',
  'no body': 'HTTP/1.1 204 No Content\r\nrequest-id: r\r\n\r\n',
};

type End = 'an orderly end' | 'a reset';

/** Starts a server that sends as much of the text as the number in the path of a request says. */
async function startServer(text: string, end: End): Promise<string> {
  const server = createServer((socket) => {
    socket.on('error', () => {}).once('data', (bytes) => {
      const part = text.slice(0, Number(/\/(\d+)/.exec(bytes.toString())![1]));
      if (end === 'a reset') socket.write(part, () => socket.resetAndDestroy());
      else socket.end(part);
    });
  });
  await new Promise<void>((resolve) => {
    server.listen(0, '127.0.0.1', resolve);
  });
  cleanups.push(() => server.close());
  return `127.0.0.1:${(server.address() as AddressInfo).port}`;
}

type Outcome = 'failed' | 'head' | 'end';

/** Resolves to the first that the client tells of an answer of so many bytes. */
function receive(address: string, method: string, length: number): Promise<Outcome> {
  const exchanger = createExchanger({ connectTimeoutMs: 1000, keepAliveMs: 1000 });
  cleanups.push(exchanger.close);
  return new Promise((resolve) => {
    exchanger.start(address, {
      method, path: `/${length}`, headers: ['Host', address], body: undefined,
    }, {
      head: () => resolve('head'),
      data() {},
      end: () => resolve('end'),
      failed: () => resolve('failed'),
    }, { dedicatedConnection: true });
  });
}

// Guards against a part of a head that passes for a whole answer with an empty or short body.
test.each(Object.entries(heads).flatMap(([name, text]) => (
  (['an orderly end', 'a reset'] as const).flatMap((end) => (
    ['GET', 'HEAD'].map((method) => [name, method, end, text] as const))))))('no byte of a head with %s, answer to %s, is an answer before %s', async (_, method, end, text) => {
  const address = await startServer(text, end);
  const lengths = Array.from({ length: text.length - 1 }, (__, i) => i + 1);
  const outcomes = await Promise.all(lengths.map((length) => receive(address, method, length)));
  expect(outcomes).toEqual(lengths.map(() => 'failed'));
  expect(await receive(address, method, text.length)).toBe('head');
});
