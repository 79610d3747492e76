/**
 * Header names that are no tokens, and `Host` twice or never, are refused in both modes, whatever
 * the parser of the runtime lets through; nothing of such a request reaches a target.
 */
import { request } from 'undici';
import {
  afterAll, beforeAll, expect, test,
} from 'vitest';
import { startGatewayFixture, type GatewayFixture } from '../support/gateway-fixture.js';
import { callerKey, startInProcessCluster, type InProcessCluster } from '../support/in-process.js';
import { openRaw } from '../support/raw-connection.js';

let cluster: InProcessCluster;
let fixture: GatewayFixture;

beforeAll(async () => {
  [cluster, fixture] = await Promise.all([
    startInProcessCluster(), startGatewayFixture({ apps: 1 }),
  ]);
});

afterAll(async () => {
  await Promise.all([cluster?.stop(), fixture?.close()]);
});

const lines = [
  'host : app.example', 'x a: 1', 'idempotency-key : k', 'request-id : r', 'host: app.example\r\nhost: other',
  'host: app.example\r\nHOST: app.example', 'x\ta: 1', 'x(a): 1', 'x\u0000a: 1', 'x\u00e9: 1', '',
];

/** Sends a request with these lines and no other `Host`; resolves to all that was received. */
async function send(port: number, path: string, line: string, key: string): Promise<string> {
  const host = /host/i.test(line) || line === '' ? '' : 'host: app.example\r\n';
  const caller = openRaw(port);
  caller.write(`POST ${path} HTTP/1.1\r\nauthorization: Bearer ${key}\r\nrequest-id: odd\r\nidempotency-key: k\r\n${host}${line && `${line}\r\n`}content-length: 2\r\n\r\nok`);
  await expect.poll(() => caller.isEnded, { timeout: 5000 }).toBe(true);
  caller.socket.destroy();
  return caller.received;
}

function expectRefusal(received: string) {
  expect(received).toMatch(/^HTTP\/1\.1 400 /);
  expect(received.match(/HTTP\/1\.1 /g)).toHaveLength(1);
  expect(received).toContain('"code":"bad_request"');
  expect(received).toContain('"ran":"no"');
}

test.each(lines)('the gateway refuses a request with the lines %j', async (line) => {
  const [app] = fixture.apps;
  const { arrivals } = app!;
  expectRefusal(await send(fixture.gateway.ports.front, '/write/a', line, 'key-1'));
  expect(app!.arrivals).toBe(arrivals);
  expect((await fixture.call()).status).toBe(200);
});

test.each(lines)('an entry refuses a request with the lines %j', async (line) => {
  expectRefusal(await send(Number(new URL(cluster.url).port), '/payments', line, callerKey));
  const res = await request(`${cluster.url}/lookups`, { headers: { authorization: `Bearer ${callerKey}` } });
  await res.body.dump();
  expect(res.statusCode).toBe(200);
});

test('a request of HTTP/1.0 needs no Host', async () => {
  const caller = openRaw(fixture.gateway.ports.front);
  caller.write('GET /read/a HTTP/1.0\r\nauthorization: Bearer key-1\r\nrequest-id: old\r\n\r\n');
  await expect.poll(() => caller.received).toMatch(/"code":"not_found"/);
  caller.socket.destroy();
});
