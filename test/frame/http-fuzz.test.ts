/** Fuzzes an entry over HTTP: it must send known refusal codes or close, and keep serving. */
import { connect } from 'node:net';
import fc from 'fast-check';
import { request } from 'undici';
import {
  afterAll, beforeAll, expect, test,
} from 'vitest';
import { refusals } from '@verbenashunt/core';
import { callerKey, startInProcessCluster, type InProcessCluster } from '../support/in-process.js';

const seed = 20_261_203;
const runs = 300;
const authorization = `Bearer ${callerKey}`;

let cluster: InProcessCluster;

beforeAll(async () => {
  cluster = await startInProcessCluster({
    headerTimeoutMs: 100, bodyTimeoutMs: 200, maxBodyBytes: 4096,
  });
});

afterAll(() => cluster?.stop());

/** Sends text and half-closes the connection; resolves to everything received. */
function sendAndHalfClose(text: string): Promise<string> {
  const { port, hostname } = new URL(cluster.url);
  return new Promise((resolve) => {
    const socket = connect(Number(port), hostname);
    let response = '';
    socket.on('data', (chunk) => {
      response += chunk.toString('latin1');
    });
    socket.on('error', () => {});
    socket.on('close', () => resolve(response));
    socket.end(Buffer.from(text, 'latin1'));
  });
}

const token = fc.stringMatching(/^[!-~]{0,12}$/);
const headerLine = fc.oneof(
  fc.constantFrom(
    'host: x',
    `authorization: ${authorization}`,
    'content-length: 4',
    'content-length: -1',
    'content-length: 99999999999999999999',
    'transfer-encoding: chunked',
    'transfer-encoding: chunked, identity',
    'expect: 100-continue',
    'connection: upgrade',
    'upgrade: h2c',
    ': empty',
    'idempotency-key: a',
  ),
  fc.tuple(token, token).map(([name, value]) => `${name}: ${value}`),
  fc.stringMatching(/^[\t -~\x80-\xff]{0,40}$/),
);
const requestLine = fc.tuple(
  fc.constantFrom('GET', 'POST', 'HEAD', 'OPTIONS', 'DELETE', 'CONNECT', 'TRACE', 'get', ''),
  fc.oneof(fc.constantFrom('/v1/models', '/v1/chat/completions', '/any', '/any/%zz', '*', '//x', 'http://[', '/operator/v1/apply'), token),
  fc.constantFrom('HTTP/1.1', 'HTTP/1.0', 'HTTP/9.9', ''),
).map((parts) => parts.join(' '));
const body = fc.oneof(
  fc.constantFrom('', '0\r\n\r\n', '4\r\nabcd\r\n0\r\n\r\n', 'zz\r\n', '{"model":"m"', '[]', 'null'),
  fc.uint8Array({ maxLength: 60 }).map((bytes) => Buffer.from(bytes).toString('latin1')),
);
const requestText = fc.tuple(requestLine, fc.array(headerLine, { maxLength: 6 }), body)
  .map(([first, lines, rest]) => `${[first, ...lines].join('\r\n')}\r\n\r\n${rest}`);

test('near-valid HTTP requests get no internal error', async () => {
  const knownCodes = new Set(Object.keys(refusals));
  await fc.assert(fc.asyncProperty(requestText, async (text) => {
    const response = await sendAndHalfClose(text);
    const codes = [...response.matchAll(/"code":"([a-z_]+)"/g)].map(([, code]) => code!);
    expect(codes.filter((code) => !knownCodes.has(code))).toEqual([]);
    expect(codes).not.toContain('internal');
    expect(response).not.toMatch(/HTTP\/1\.1 500/);
  }), { seed, numRuns: runs });
  const res = await request(`${cluster.url}/v1/models`, { headers: { authorization } });
  expect(res.statusCode).toBe(200);
  await res.body.dump();
});

test('random JSON sent as a chat request is refused as a bad request', async () => {
  await fc.assert(fc.asyncProperty(fc.json(), async (text) => {
    const res = await request(`${cluster.url}/v1/chat/completions`, { method: 'POST', headers: { authorization }, body: text });
    expect(await res.body.json()).toMatchObject({ error: { code: 'bad_request', ran: 'no' } });
  }), { seed, numRuns: runs });
});
