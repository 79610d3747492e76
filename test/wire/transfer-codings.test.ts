/** Answers with a transfer coding, which mark their end only if the last one is chunked. */
import { createServer, type AddressInfo } from 'node:net';
import { afterEach, expect, test } from 'vitest';
import { createExchanger, exchangeOnce } from '@verbenashunt/wire';

const cleanups: (() => unknown)[] = [];

afterEach(async () => {
  await Promise.all(cleanups.splice(0).map((cleanup) => cleanup()));
});

/** Fetches an answer with these transfer codings whose connection then ends in order. */
async function fetchCoded(codings: string, body: string) {
  const server = createServer((socket) => {
    socket.on('error', () => {}).once('data', () => {
      socket.end(`HTTP/1.1 200 OK\r\ntransfer-encoding: ${codings}\r\n\r\n${body}`);
    });
  });
  await new Promise<void>((resolve) => {
    server.listen(0, '127.0.0.1', resolve);
  });
  const exchanger = createExchanger({ connectTimeoutMs: 300, keepAliveMs: 1000 });
  cleanups.push(() => server.close(), exchanger.close);
  const address = `127.0.0.1:${(server.address() as AddressInfo).port}`;
  return exchangeOnce(exchanger, address, {
    method: 'GET', path: '/', headers: ['Host', address], body: undefined,
  }, 1000);
}

test.each(['identity', 'gzip', 'chunked, identity', 'xchunked', ''])('an answer that ends with its connection has no marked end with the codings "%s"', async (codings) => {
  const { body, isFramed } = await fetchCoded(codings, 'half');
  expect({ body: body.toString(), isFramed }).toEqual({ body: 'half', isFramed: false });
});

test.each(['chunked', 'Chunked', 'gzip, chunked'])('an answer in chunks has a marked end with the codings "%s"', async (codings) => {
  const { body, isFramed } = await fetchCoded(codings, '4\r\nbody\r\n0\r\n\r\n');
  expect({ body: body.toString(), isFramed }).toEqual({ body: 'body', isFramed: true });
});
