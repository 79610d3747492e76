/** Limits of an entry's HTTP server, and its responses to requests that exceed them. */
import { connect } from 'node:net';
import { Client, request } from 'undici';
import {
  afterAll, beforeAll, expect, test,
} from 'vitest';
import { waitFor } from '@verbenashunt/stand-ins';
import { callerKey, startInProcessCluster, type InProcessCluster } from '../support/in-process.js';

const headers = { authorization: `Bearer ${callerKey}`, 'content-type': 'application/json' };
const chat = (fields: object) => JSON.stringify({
  model: 'm', messages: [{ role: 'user', content: 'x' }], ...fields,
});

let cluster: InProcessCluster;

beforeAll(async () => {
  cluster = await startInProcessCluster({
    maxBodyBytes: 65_536,
    maxBufferedBytes: 1_048_576,
    maxPromptTokens: 1000,
    maxHeaderBytes: 32_768,
    headerTimeoutMs: 300,
    bodyTimeoutMs: 600,
    maxStreamBacklogBytes: 16_384,
  });
});

afterAll(() => cluster?.stop());

/** Sends raw bytes; resolves to everything received until the entry closed the connection. */
function sendRaw(text: string): Promise<string> {
  const { port, hostname } = new URL(cluster.url);
  return new Promise((resolve) => {
    const socket = connect(Number(port), hostname);
    let response = '';
    socket.on('data', (chunk) => {
      response += chunk.toString('latin1');
    });
    socket.on('error', () => {});
    socket.on('close', () => resolve(response));
    socket.write(text);
  });
}

const errorCodeOf = (response: string) => /"code":"([a-z_]+)"/.exec(response)?.[1];

async function post(url: string, body: string, extra: Record<string, string> = {}) {
  const res = await request(cluster.url + url, { method: 'POST', headers: { ...headers, ...extra }, body });
  return { status: res.statusCode, text: await res.body.text() };
}

async function expectServing() {
  const { status } = await post('/v1/chat/completions', chat({ max_tokens: 2 }));
  expect(status).toBe(200);
}

test.each([
  ['content-length together with transfer-encoding', 'POST /any HTTP/1.1\r\nhost: x\r\ncontent-length: 4\r\ntransfer-encoding: chunked\r\n\r\n0\r\n\r\nGET /lookups HTTP/1.1\r\n\r\n'],
  ['two different content-lengths', 'POST /any HTTP/1.1\r\nhost: x\r\ncontent-length: 4\r\ncontent-length: 5\r\n\r\nabcde'],
  ['an unknown transfer-encoding', 'POST /any HTTP/1.1\r\nhost: x\r\ntransfer-encoding: xchunked\r\n\r\n0\r\n\r\n'],
  ['a space before the colon', 'GET /any HTTP/1.1\r\nhost : x\r\n\r\n'],
  ['a folded header', 'GET /any HTTP/1.1\r\nhost: x\r\nx-a: 1\r\n  2\r\n\r\n'],
  ['bytes that are not HTTP', '\x16\x03\x01\x00\x00garbage\r\n\r\n'],
])('a malformed request is rejected: %s', async (_, text) => {
  const response = await sendRaw(text);
  expect(response.match(/HTTP\/1\.1 /g)).toHaveLength(1);
  expect(response).toMatch(/^HTTP\/1\.1 400 /);
  expect(errorCodeOf(response)).toBe('bad_request');
});

test('headers over the limit', async () => {
  const response = await sendRaw(`GET /any HTTP/1.1\r\nhost: x\r\nx-a: ${'a'.repeat(40_000)}\r\n\r\n`);
  expect(response).toMatch(/^HTTP\/1\.1 431 /);
  expect(errorCodeOf(response)).toBe('headers_too_large');
});

test('headers that never end', async () => {
  const response = await sendRaw('GET /any HTTP/1.1\r\nhost: x\r\n');
  expect(errorCodeOf(response)).toBe('request_timeout');
});

test('a body that never ends', async () => {
  const response = await sendRaw(`POST /any HTTP/1.1\r\nhost: x\r\nauthorization: Bearer ${callerKey}\r\ncontent-length: 100\r\n\r\nhalf`);
  expect(errorCodeOf(response)).toBe('request_timeout');
  await expectServing();
});

test('a body over the limit, with a content-length and chunked', async () => {
  const requestHead = `POST /any HTTP/1.1\r\nhost: x\r\nauthorization: Bearer ${callerKey}\r\n`;
  const declared = await sendRaw(`${requestHead}content-length: 70000\r\n\r\n`);
  expect(declared.split('\r\n\r\n')[0]).toMatch(/^HTTP\/1\.1 413 [^]*connection: close/i);
  expect(errorCodeOf(declared)).toBe('body_too_large');
  const chunk = `4000\r\n${'a'.repeat(0x4000)}\r\n`;
  const chunked = await sendRaw(`${requestHead}transfer-encoding: chunked\r\n\r\n${chunk.repeat(5)}`);
  expect(errorCodeOf(chunked)).toBe('body_too_large');
});

test('the body of a refused request is not parsed as another request', async () => {
  const smuggledRequest = 'GET /lookups HTTP/1.1\r\nhost: x\r\n\r\n';
  const response = await sendRaw(`POST /any HTTP/1.1\r\nhost: x\r\ncontent-length: ${smuggledRequest.length + 1}\r\n\r\n${smuggledRequest}`);
  expect(response.match(/HTTP\/1\.1 /g)).toHaveLength(1);
  expect(errorCodeOf(response)).toBe('unauthorized');
});

test('a header too long for the peer protocol is refused and affects no other request', async () => {
  const concurrent = request(`${cluster.url}/v1/chat/completions`, { method: 'POST', headers, body: chat({ max_tokens: 400 }) });
  const refused = await post('/any', '', { 'x-long': 'a'.repeat(9000) });
  expect(refused).toMatchObject({ status: 431 });
  const longPath = await request(`${cluster.url}/any?${'a'.repeat(9000)}`, { headers });
  expect(longPath.statusCode).toBe(400);
  await longPath.body.dump();
  const { statusCode, body } = await concurrent;
  expect(statusCode).toBe(200);
  expect(await body.json()).toMatchObject({ usage: { completion_tokens: 400 } });
});

test('a prompt over the limit is refused and affects no later request', async () => {
  const { status, text } = await post('/v1/chat/completions', chat({ messages: [{ role: 'user', content: 'x'.repeat(2000) }] }));
  expect(status).toBe(400);
  expect(text).toContain('more than 1000 tokens');
  await expectServing();
});

test('a request target that is not a path', async () => {
  const requestHeaders = `host: x\r\nconnection: close\r\nauthorization: Bearer ${callerKey}\r\n\r\n`;
  expect(errorCodeOf(await sendRaw(`GET //other/any HTTP/1.1\r\n${requestHeaders}`))).toBe('bad_request');
  expect(errorCodeOf(await sendRaw(`PROPFIND /any HTTP/1.1\r\n${requestHeaders}`))).toBe('method_not_allowed');
  // The route is chosen by the normalised path, /payments, which does not accept GET.
  expect(errorCodeOf(await sendRaw(`GET /lookups/%2e%2e/payments HTTP/1.1\r\n${requestHeaders}`))).toBe('not_found');
});

test('a caller that does not read its stream is disconnected', async () => {
  const { port, hostname } = new URL(cluster.url);
  const socket = connect(Number(port), hostname);
  const body = chat({ stream: true, max_tokens: 100_000 });
  socket.write(`POST /v1/chat/completions HTTP/1.1\r\nhost: x\r\nauthorization: Bearer ${callerKey}\r\ncontent-length: ${body.length}\r\n\r\n${body}`);
  socket.pause();
  socket.on('error', () => {});
  await waitFor('the response to be aborted', async () => {
    const res = await request(`${cluster.url}/metrics`);
    const text = await res.body.text();
    return /verbenashunt_slow_readers_total 1/.test(text)
      && /verbenashunt_requests_total\{[^}]*outcome="caller_gone"\} 1/.test(text);
  }, 50_000);
  socket.destroy();
  await waitFor('the engine to be idle', async () => {
    const res = await request(`${cluster.engine}/runs`);
    return (await res.body.json() as { sequences: number }).sequences === 0;
  });
});

test('a request on a connection over the limit gets a refusal', async () => {
  const maxConnections = 4;
  const limited = await startInProcessCluster({ maxConnections });
  try {
    const { port, hostname } = new URL(limited.url);
    const openSockets = Array.from(
      { length: maxConnections },
      () => connect(Number(port), hostname),
    );
    await Promise.all(openSockets.map((socket) => new Promise((resolve) => {
      socket.once('connect', resolve);
    })));
    const client = new Client(limited.url);
    const res = await client.request({ path: '/v1/models', method: 'GET', headers });
    expect(res.statusCode).toBe(503);
    expect(res.headers).toMatchObject({ 'retry-after': '1', connection: 'close' });
    expect(await res.body.json()).toMatchObject({ error: { code: 'too_many_connections', ran: 'no' } });
    await client.close();
    openSockets.forEach((socket) => socket.destroy());
  } finally {
    await limited.stop();
  }
});
