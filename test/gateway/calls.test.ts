/** Calls to services without engines through a gateway: the answers, and what the targets ran. */
import { connect } from 'node:net';
import { afterEach, expect, test } from 'vitest';
import { operatorConfig } from '@verbenashunt/platform/stand-in';
import { startGatewayFixture, type GatewayFixture, type GatewayFixtureOptions } from '../support/gateway-fixture.js';

let fixture: GatewayFixture;

async function start(options?: GatewayFixtureOptions) {
  fixture = await startGatewayFixture(options);
  return fixture;
}

afterEach(() => fixture.close());

const runCounts = ({ apps }: GatewayFixture) => apps.map(({ ran }) => ran.length);
const totalRuns = (setup: GatewayFixture) => runCounts(setup).reduce((sum, n) => sum + n, 0);
const write = { method: 'POST', path: '/write/a', body: 'order' };

test('an answer is passed on completely, with the stamp header of the target', async () => {
  const { call, apps } = await start();
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

test('a missing or wrong key gives 401, an unknown route 404', async () => {
  const { call } = await start();
  expect((await call({ headers: { authorization: '' } })).status).toBe(401);
  expect((await call({ headers: { authorization: 'Bearer other' } })).status).toBe(401);
  expect((await call({ path: '/none/a' })).status).toBe(404);
  expect((await call({ path: '/open/a', headers: { authorization: '' } })).status).toBe(200);
});

test('a tenant header of the caller is replaced', async () => {
  const { call, apps } = await start();
  await call({ headers: { tenant: 'another' } });
  expect(apps.flatMap(({ ran }) => ran)[0]!.headers.tenant).toBe('org');
});

test('a call that no target runs is refused as not run', async () => {
  const setup = await start();
  setup.apps.forEach((app) => Object.assign(app, { behaviour: 'not-run' }));
  const answer = await setup.call(write);
  expect(answer.status).toBe(503);
  expect(JSON.parse(answer.body).error.ran).toBe('no');
  expect(Number(answer.headers['retry-after'])).toBeGreaterThan(0);
  expect(totalRuns(setup)).toBe(0);
});

test('a call that one target does not run is run by the other', async () => {
  const setup = await start();
  setup.apps[0]!.behaviour = 'not-run';
  const answers = await Promise.all(Array.from({ length: 6 }, () => setup.call(write)));
  expect(answers.map(({ status }) => status)).toEqual(Array(6).fill(200));
  expect(runCounts(setup)).toEqual([0, 6]);
});

test('with one reachable target out of five, each request runs there exactly once', async () => {
  const setup = await start({ apps: 5 });
  await Promise.all(setup.apps.slice(1).map((app) => app.close()));
  const answers = await Promise.all(Array.from({ length: 4 }, () => setup.call(write)));
  expect(answers.map(({ status }) => status)).toEqual(Array(4).fill(200));
  expect(runCounts(setup)).toEqual([4, 0, 0, 0, 0]);
});

test.each(['reset', 'foreign', 'half', 'shed-silently'] as const)('a non-idempotent call has an unknown outcome and is not retried when the target behaves as %s', async (behaviour) => {
  const setup = await start();
  setup.apps.forEach((app) => Object.assign(app, { behaviour }));
  const answer = await setup.call(write);
  expect(answer.status).toBe(502);
  expect(JSON.parse(answer.body).error.ran).toBe('unknown');
  expect(totalRuns(setup)).toBe(1);
});

test('a non-idempotent call to a silent target times out at its deadline and is not retried', async () => {
  const setup = await start();
  setup.apps.forEach((app) => Object.assign(app, { behaviour: 'silent' }));
  const startedAt = performance.now();
  const answer = await setup.call({ ...write, headers: { 'request-deadline-ms': '400' } });
  expect(answer.status).toBe(504);
  expect(performance.now() - startedAt).toBeGreaterThan(350);
  expect(totalRuns(setup)).toBe(1);
});

test('with one reachable target out of five, each request runs there exactly once', async () => {
  const setup = await start({ apps: 5 });
  await Promise.all(setup.apps.slice(1).map((app) => app.close()));
  const answers = await Promise.all(Array.from({ length: 4 }, () => setup.call(write)));
  expect(answers.map(({ status }) => status)).toEqual(Array(4).fill(200));
  expect(runCounts(setup)).toEqual([4, 0, 0, 0, 0]);
});

test.each(['reset', 'foreign', 'half', 'silent', 'fail', 'unframed-reset'] as const)('an idempotent call is retried at the other target when one behaves as %s', async (behaviour) => {
  const setup = await start();
  setup.apps[0]!.behaviour = behaviour;
  const answers = await Promise.all(Array.from({ length: 4 }, () => setup.call()));
  expect(answers.map(({ status, body }) => `${status} ${body}`))
    .toEqual(Array(4).fill('200 answer of app-1 to '));
});

test('an error of the target is passed on with its stamp header', async () => {
  const setup = await start();
  setup.apps.forEach((app) => Object.assign(app, { behaviour: 'fail' }));
  const answer = await setup.call(write);
  expect(answer.status).toBe(500);
  expect(answer.headers['server-stamp']).toMatch(/^stamp/);
  expect(totalRuns(setup)).toBe(1);
});

test('an answer without a length is passed on without one', async () => {
  const setup = await start({ apps: 1 });
  setup.apps[0]!.behaviour = 'unframed';
  const answer = await setup.call(write);
  expect(answer.body).toBe('answer of app-0');
  expect(answer.headers).not.toHaveProperty('content-length');
  expect(answer.headers).not.toHaveProperty('transfer-encoding');
  expect(answer.headers.connection).toBe('close');
});

test('a non-idempotent call has an unknown outcome when an answer without a length is reset', async () => {
  const setup = await start({ apps: 1 });
  setup.apps[0]!.behaviour = 'unframed-reset';
  expect((await setup.call(write)).status).toBe(502);
});

test('a call goes to another target when nothing could be sent to a closed one', async () => {
  const setup = await start();
  await setup.apps[0]!.close();
  const answers = await Promise.all(Array.from({ length: 4 }, () => setup.call(write)));
  expect(answers.map(({ status }) => status)).toEqual(Array(4).fill(200));
  expect(runCounts(setup)).toEqual([0, 4]);
});

test('no call runs at a target of another service that has taken over an address', async () => {
  const setup = await start({ apps: 2, pool: [[0, 8]] });
  const [other] = setup.pool;
  setup.store.put('servers', 'app-0', other!.row('app'));
  const answers = await Promise.all(Array.from({ length: 6 }, () => setup.call(write)));
  expect(answers.map(({ status }) => status)).toEqual(Array(6).fill(200));
  expect(other!.ran).toEqual([]);
  await expect.poll(async () => {
    await setup.call(write);
    return setup.apps[1]!.ran.length;
  }).toBeGreaterThan(setup.apps[0]!.ran.length + 2);
  expect(other!.ran).toEqual([]);
});

test('the call is aborted at the target when the caller disconnects', async () => {
  const setup = await start({ apps: 1 });
  setup.apps[0]!.behaviour = 'silent';
  await setup.call({ closeAfterMs: 50 });
  await expect.poll(() => setup.apps[0]!.ran[0]?.isAborted, { timeout: 400 }).toBe(true);
});

test('a request whose caller had already left when it was read is not sent on', async () => {
  const setup = await start({ apps: 1 });
  // Leaves a connection to the target open, on which a further call would be sent at once.
  await setup.call();
  const before = setup.apps[0]!.arrivals;
  const head = [
    'GET /read/a HTTP/1.1', 'host: app.example', 'request-id: left', 'request-deadline-ms: 1000',
    'authorization: Bearer key-1', '', '',
  ].join('\r\n');
  const socket = connect(setup.gateway.ports.front, '127.0.0.1');
  await new Promise((resolve) => {
    socket.once('connect', resolve);
  });
  socket.write(head);
  socket.end();
  await new Promise((resolve) => {
    setTimeout(resolve, 200);
  });
  expect(setup.apps[0]!.arrivals).toBe(before);
});

test('a body over the limit is refused', async () => {
  const { call } = await start();
  expect((await call({ ...write, body: 'x'.repeat(5000) })).status).toBe(413);
});

test('headers over the current limit are refused, before and after the limit changes', async () => {
  const { call, store, gateway } = await start();
  const withHeader = async (bytes: number) => {
    const { status } = await call({ headers: { 'x-long': 'x'.repeat(bytes) } });
    return status;
  };
  expect([await withHeader(15_000), await withHeader(17_000)]).toEqual([200, 431]);
  const limits = { ...operatorConfig(1).limits, maxHeaderBytes: 100_000 };
  const applied = gateway.events.once('config');
  store.put('op', 'config', operatorConfig(2, { limits }));
  await applied;
  expect([await withHeader(90_000), await withHeader(110_000)]).toEqual([200, 431]);
});
