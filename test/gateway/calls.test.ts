/** Calls to plain services through a gateway: what callers are told, and what targets ran. */
import { afterEach, expect, test } from 'vitest';
import { operatorConfig } from '@verbenashunt/platform/stand-in';
import { startGatewayFixture, type GatewayFixture, type GatewayFixtureOptions } from '../support/gateway-fixture.js';

let world: GatewayFixture;

async function begin(options?: GatewayFixtureOptions) {
  world = await startGatewayFixture(options);
  return world;
}

afterEach(() => world.close());

const ranBy = ({ apps }: GatewayFixture) => apps.map(({ ran }) => ran.length);
const totalRan = (it: GatewayFixture) => ranBy(it).reduce((sum, n) => sum + n, 0);
const write = { method: 'POST', path: '/write/a', body: 'order' };

test('an answer is passed on whole, with the stamp', async () => {
  const { call, apps } = await begin();
  const answer = await call({ ...write, headers: { 'x-own': 'kept', connection: 'x-hop', 'x-hop': 'gone' } });
  const [seen] = apps.flatMap(({ ran }) => ran);
  expect(answer).toMatchObject({ status: 200, isComplete: true, body: expect.stringContaining('to order') });
  expect(answer.headers['server-stamp']).toMatch(/^stamp\.app-/);
  expect(seen).toMatchObject({ method: 'POST', path: '/write/a', body: 'order' });
  expect(seen!.headers).toMatchObject({ tenant: 'org', 'x-own': 'kept' });
  expect(seen!.headers).not.toHaveProperty('authorization');
  expect(seen!.headers).not.toHaveProperty('x-hop');
  expect(Number(seen!.headers['request-deadline-ms'])).toBeLessThanOrEqual(1500);
});

test('no key, a wrong key, no route', async () => {
  const { call } = await begin();
  expect((await call({ headers: { authorization: '' } })).status).toBe(401);
  expect((await call({ headers: { authorization: 'Bearer other' } })).status).toBe(401);
  expect((await call({ path: '/none/a' })).status).toBe(404);
  expect((await call({ path: '/open/a', headers: { authorization: '' } })).status).toBe(200);
});

test('a tenant named by the caller is not taken', async () => {
  const { call, apps } = await begin();
  await call({ headers: { tenant: 'another' } });
  expect(apps.flatMap(({ ran }) => ran)[0]!.headers.tenant).toBe('org');
});

test('not run anywhere: refused as not run', async () => {
  const it = await begin();
  it.apps.forEach((app) => Object.assign(app, { manner: 'not-run' }));
  const answer = await it.call(write);
  expect(answer.status).toBe(503);
  expect(JSON.parse(answer.body).error.ran).toBe('no');
  expect(Number(answer.headers['retry-after'])).toBeGreaterThan(0);
  expect(totalRan(it)).toBe(0);
});

test('not run at one target: run at the other', async () => {
  const it = await begin();
  it.apps[0]!.manner = 'not-run';
  const answers = await Promise.all(Array.from({ length: 6 }, () => it.call(write)));
  expect(answers.map(({ status }) => status)).toEqual(Array(6).fill(200));
  expect(ranBy(it)).toEqual([0, 6]);
});

test('one target of five can be reached: each request runs there, once', async () => {
  const it = await begin({ apps: 5 });
  await Promise.all(it.apps.slice(1).map((app) => app.close()));
  const answers = await Promise.all(Array.from({ length: 4 }, () => it.call(write)));
  expect(answers.map(({ status }) => status)).toEqual(Array(4).fill(200));
  expect(ranBy(it)).toEqual([4, 0, 0, 0, 0]);
});

test.each(['reset', 'foreign', 'half', 'shed-silently'] as const)('once, %s: unknown, not run again', async (manner) => {
  const it = await begin();
  it.apps.forEach((app) => Object.assign(app, { manner }));
  const answer = await it.call(write);
  expect(answer.status).toBe(502);
  expect(JSON.parse(answer.body).error.ran).toBe('unknown');
  expect(totalRan(it)).toBe(1);
});

test('once, silent: answered at the time-out of the route, not run again', async () => {
  const it = await begin();
  it.apps.forEach((app) => Object.assign(app, { manner: 'silent' }));
  const startedAt = performance.now();
  const answer = await it.call({ ...write, headers: { 'request-deadline-ms': '400' } });
  expect(answer.status).toBe(504);
  expect(performance.now() - startedAt).toBeGreaterThan(350);
  expect(totalRan(it)).toBe(1);
});

test('one target of five can be reached: each request runs there, once', async () => {
  const it = await begin({ apps: 5 });
  await Promise.all(it.apps.slice(1).map((app) => app.close()));
  const answers = await Promise.all(Array.from({ length: 4 }, () => it.call(write)));
  expect(answers.map(({ status }) => status)).toEqual(Array(4).fill(200));
  expect(ranBy(it)).toEqual([4, 0, 0, 0, 0]);
});

test.each(['reset', 'foreign', 'half', 'silent', 'fail', 'unframed-reset'] as const)('idempotent, %s at one: run at the other', async (manner) => {
  const it = await begin();
  it.apps[0]!.manner = manner;
  const answers = await Promise.all(Array.from({ length: 4 }, () => it.call()));
  expect(answers.map(({ status, body }) => `${status} ${body}`))
    .toEqual(Array(4).fill('200 answer of app-1 to '));
});

test('a failure of the target itself is passed on with its stamp', async () => {
  const it = await begin();
  it.apps.forEach((app) => Object.assign(app, { manner: 'fail' }));
  const answer = await it.call(write);
  expect(answer.status).toBe(500);
  expect(answer.headers['server-stamp']).toMatch(/^stamp/);
  expect(totalRan(it)).toBe(1);
});

test('an answer without a length is passed on without one', async () => {
  const it = await begin({ apps: 1 });
  it.apps[0]!.manner = 'unframed';
  const answer = await it.call(write);
  expect(answer.body).toBe('answer of app-0');
  expect(answer.headers).not.toHaveProperty('content-length');
  expect(answer.headers).not.toHaveProperty('transfer-encoding');
  expect(answer.headers.connection).toBe('close');
});

test('once, an answer without a length that is reset: unknown', async () => {
  const it = await begin({ apps: 1 });
  it.apps[0]!.manner = 'unframed-reset';
  expect((await it.call(write)).status).toBe(502);
});

test('a target that is gone: nothing left, another is taken', async () => {
  const it = await begin();
  await it.apps[0]!.close();
  const answers = await Promise.all(Array.from({ length: 4 }, () => it.call(write)));
  expect(answers.map(({ status }) => status)).toEqual(Array(4).fill(200));
  expect(ranBy(it)).toEqual([0, 4]);
});

test('an address taken over by a target of another service runs nothing there', async () => {
  const it = await begin({ apps: 2, pool: [[0, 8]] });
  const [other] = it.pool;
  it.store.put('servers', 'app-0', other!.row('app'));
  const answers = await Promise.all(Array.from({ length: 6 }, () => it.call(write)));
  expect(answers.map(({ status }) => status)).toEqual(Array(6).fill(200));
  expect(other!.ran).toEqual([]);
  await expect.poll(async () => {
    await it.call(write);
    return it.apps[1]!.ran.length;
  }).toBeGreaterThan(it.apps[0]!.ran.length + 2);
  expect(other!.ran).toEqual([]);
});

test('a caller that leaves ends the work at the target', async () => {
  const it = await begin({ apps: 1 });
  it.apps[0]!.manner = 'silent';
  await it.call({ closeAfterMs: 50 });
  await expect.poll(() => it.apps[0]!.ran[0]?.isAborted, { timeout: 400 }).toBe(true);
});

test('a body over the limit', async () => {
  const { call } = await begin();
  expect((await call({ ...write, body: 'x'.repeat(5000) })).status).toBe(413);
});

test('headers over the limit in force are refused, before and after it changes', async () => {
  const { call, store, gateway } = await begin();
  const withHeader = async (bytes: number) => {
    const { status } = await call({ headers: { 'x-long': 'x'.repeat(bytes) } });
    return status;
  };
  expect([await withHeader(15_000), await withHeader(17_000)]).toEqual([200, 431]);
  const limits = { ...operatorConfig(1).limits, maxHeaderBytes: 100_000 };
  const inForce = gateway.events.once('config');
  store.put('op', 'config', operatorConfig(2, { limits }));
  await inForce;
  expect([await withHeader(90_000), await withHeader(110_000)]).toEqual([200, 431]);
});
