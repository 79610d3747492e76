/** Bounds of the callers' HTTP and the answers beyond them. */
import { connect } from 'node:net';
import { Client, request } from 'undici';
import {
  afterAll, beforeAll, expect, test,
} from 'vitest';
import { waitFor } from '@verbenashunt/stand-ins';
import { callerKey, startInProcess, type InProcess } from '../support/in-process.js';

const headers = { authorization: `Bearer ${callerKey}`, 'content-type': 'application/json' };
const chat = (fields: object) => JSON.stringify({
  model: 'm', messages: [{ role: 'user', content: 'x' }], ...fields,
});

let path: InProcess;

beforeAll(async () => {
  path = await startInProcess({
    maxBodyBytes: 65_536,
    maxBufferedBytes: 1_048_576,
    maxPromptTokens: 1000,
    maxHeaderBytes: 32_768,
    headerTimeoutMs: 300,
    bodyTimeoutMs: 600,
    maxStreamBacklogBytes: 16_384,
  });
});

afterAll(() => path?.stop());

/** Sends bytes as they stand; resolves to all that came back once the entry closed. */
function sendRaw(text: string): Promise<string> {
  const { port, hostname } = new URL(path.url);
  return new Promise((resolve) => {
    const socket = connect(Number(port), hostname);
    let answer = '';
    socket.on('data', (chunk) => {
      answer += chunk.toString('latin1');
    });
    socket.on('error', () => {});
    socket.on('close', () => resolve(answer));
    socket.write(text);
  });
}

const codeOf = (answer: string) => /"code":"([a-z_]+)"/.exec(answer)?.[1];

async function post(url: string, body: string, extra: Record<string, string> = {}) {
  const res = await request(path.url + url, { method: 'POST', headers: { ...headers, ...extra }, body });
  return { status: res.statusCode, text: await res.body.text() };
}

async function expectServing() {
  const { status } = await post('/v1/chat/completions', chat({ max_tokens: 2 }));
  expect(status).toBe(200);
}

test.each([
  ['both length and chunks', 'POST /any HTTP/1.1\r\nhost: x\r\ncontent-length: 4\r\ntransfer-encoding: chunked\r\n\r\n0\r\n\r\nGET /lookups HTTP/1.1\r\n\r\n'],
  ['two lengths', 'POST /any HTTP/1.1\r\nhost: x\r\ncontent-length: 4\r\ncontent-length: 5\r\n\r\nabcde'],
  ['obscured chunking', 'POST /any HTTP/1.1\r\nhost: x\r\ntransfer-encoding: xchunked\r\n\r\n0\r\n\r\n'],
  ['space before the colon', 'GET /any HTTP/1.1\r\nhost : x\r\n\r\n'],
  ['folded header', 'GET /any HTTP/1.1\r\nhost: x\r\nx-a: 1\r\n  2\r\n\r\n'],
  ['no request at all', '\x16\x03\x01\x00\x00garbage\r\n\r\n'],
])('not a request: %s', async (_, text) => {
  const answer = await sendRaw(text);
  expect(answer.match(/HTTP\/1\.1 /g)).toHaveLength(1);
  expect(answer).toMatch(/^HTTP\/1\.1 400 /);
  expect(codeOf(answer)).toBe('bad_request');
});

test('headers over the bound', async () => {
  const answer = await sendRaw(`GET /any HTTP/1.1\r\nhost: x\r\nx-a: ${'a'.repeat(40_000)}\r\n\r\n`);
  expect(answer).toMatch(/^HTTP\/1\.1 431 /);
  expect(codeOf(answer)).toBe('headers_too_large');
});

test('headers that never end', async () => {
  const answer = await sendRaw('GET /any HTTP/1.1\r\nhost: x\r\n');
  expect(codeOf(answer)).toBe('request_timeout');
});

test('half a body', async () => {
  const answer = await sendRaw(`POST /any HTTP/1.1\r\nhost: x\r\nauthorization: Bearer ${callerKey}\r\ncontent-length: 100\r\n\r\nhalf`);
  expect(codeOf(answer)).toBe('request_timeout');
  await expectServing();
});

test('body over the bound, declared and chunked', async () => {
  const start = `POST /any HTTP/1.1\r\nhost: x\r\nauthorization: Bearer ${callerKey}\r\n`;
  const declared = await sendRaw(`${start}content-length: 70000\r\n\r\n`);
  expect(declared.split('\r\n\r\n')[0]).toMatch(/^HTTP\/1\.1 413 [^]*connection: close/i);
  expect(codeOf(declared)).toBe('body_too_large');
  const chunk = `4000\r\n${'a'.repeat(0x4000)}\r\n`;
  const chunked = await sendRaw(`${start}transfer-encoding: chunked\r\n\r\n${chunk.repeat(5)}`);
  expect(codeOf(chunked)).toBe('body_too_large');
});

test('a refused body is not taken for a request', async () => {
  const smuggled = 'GET /lookups HTTP/1.1\r\nhost: x\r\n\r\n';
  const answer = await sendRaw(`POST /any HTTP/1.1\r\nhost: x\r\ncontent-length: ${smuggled.length + 1}\r\n\r\n${smuggled}`);
  expect(answer.match(/HTTP\/1\.1 /g)).toHaveLength(1);
  expect(codeOf(answer)).toBe('unauthorized');
});

test('a header that the peer protocol cannot carry is refused and harms no other', async () => {
  const before = request(`${path.url}/v1/chat/completions`, { method: 'POST', headers, body: chat({ max_tokens: 400 }) });
  const refused = await post('/any', '', { 'x-long': 'a'.repeat(9000) });
  expect(refused).toMatchObject({ status: 431 });
  const long = await request(`${path.url}/any?${'a'.repeat(9000)}`, { headers });
  expect(long.statusCode).toBe(400);
  await long.body.dump();
  const { statusCode, body } = await before;
  expect(statusCode).toBe(200);
  expect(await body.json()).toMatchObject({ usage: { completion_tokens: 400 } });
});

test('a prompt over the bound is refused and harms no other', async () => {
  const { status, text } = await post('/v1/chat/completions', chat({ messages: [{ role: 'user', content: 'x'.repeat(2000) }] }));
  expect(status).toBe(400);
  expect(text).toContain('more than 1000 tokens');
  await expectServing();
});

test('a request target that is not a path', async () => {
  const key = `host: x\r\nconnection: close\r\nauthorization: Bearer ${callerKey}\r\n\r\n`;
  expect(codeOf(await sendRaw(`GET //other/any HTTP/1.1\r\n${key}`))).toBe('bad_request');
  expect(codeOf(await sendRaw(`PROPFIND /any HTTP/1.1\r\n${key}`))).toBe('method_not_allowed');
  // Dot segments end in a route that takes no GET: the normalised path decides.
  expect(codeOf(await sendRaw(`GET /lookups/%2e%2e/payments HTTP/1.1\r\n${key}`))).toBe('not_found');
});

test('a caller that does not read its stream is cut off', async () => {
  const { port, hostname } = new URL(path.url);
  const socket = connect(Number(port), hostname);
  const body = chat({ stream: true, max_tokens: 100_000 });
  socket.write(`POST /v1/chat/completions HTTP/1.1\r\nhost: x\r\nauthorization: Bearer ${callerKey}\r\ncontent-length: ${body.length}\r\n\r\n${body}`);
  socket.pause();
  socket.on('error', () => {});
  await waitFor('the answer to be cut off', async () => {
    const res = await request(`${path.url}/metrics`);
    return /verbenashunt_slow_readers_total 1/.test(await res.body.text());
  }, 50_000);
  socket.destroy();
  await waitFor('the engine to be free', async () => {
    const res = await request(`${path.engine}/runs`);
    return (await res.body.json() as { sequences: number }).sequences === 0;
  });
});

test('connections over the bound are told so', async () => {
  const bound = 4;
  const small = await startInProcess({ maxConnections: bound });
  try {
    const { port, hostname } = new URL(small.url);
    const held = Array.from({ length: bound }, () => connect(Number(port), hostname));
    await Promise.all(held.map((socket) => new Promise((resolve) => {
      socket.once('connect', resolve);
    })));
    const client = new Client(small.url);
    const res = await client.request({ path: '/v1/models', method: 'GET', headers });
    expect(res.statusCode).toBe(503);
    expect(res.headers).toMatchObject({ 'retry-after': '1', connection: 'close' });
    expect(await res.body.json()).toMatchObject({ error: { code: 'too_many_connections', ran: 'no' } });
    await client.close();
    held.forEach((socket) => socket.destroy());
  } finally {
    await small.stop();
  }
});
