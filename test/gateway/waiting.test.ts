/** Requests that wait at a gateway until targets have capacity. */
import { afterEach, expect, test } from 'vitest';
import { operatorConfig } from '@verbenashunt/platform/stand-in';
import { startGatewayFixture, type GatewayFixture, type GatewayFixtureOptions } from '../support/gateway-fixture.js';
import { wait } from '../support/timing.js';

let fixture: GatewayFixture;

const routesWith = (overrides: object) => operatorConfig(1).routes
  .map((route) => ({ ...route, ...overrides }));

async function start(options: GatewayFixtureOptions = {}) {
  fixture = await startGatewayFixture({
    apps: 1,
    config: { routes: routesWith({ targetLatencyMs: 600, targetGapMs: 2000 }) },
    ...options,
  });
  return fixture;
}

afterEach(() => fixture.close());

/** Slots that the stand-in states for each target. */
const slots = 8;
const write = { method: 'POST', path: '/write/a', body: 'order' };

/** Occupies all slots of the only app with calls that get no answer until their deadline. */
async function occupySlots({ apps, call }: GatewayFixture, deadlineMs: number) {
  Object.assign(apps[0]!, { behaviour: 'silent' });
  const pending = Array.from({ length: slots }, () => call({
    ...write, headers: { 'request-deadline-ms': String(deadlineMs) },
  }));
  await expect.poll(() => apps[0]!.arrivals).toBe(slots);
  Object.assign(apps[0]!, { behaviour: 'answer' });
  return pending;
}

test('a call to a service without a free slot waits and then runs', async () => {
  const setup = await start();
  const pending = await occupySlots(setup, 400);
  expect(await setup.call()).toMatchObject({ status: 200 });
  expect(setup.apps[0]!.arrivals).toBe(slots + 1);
  await Promise.all(pending);
});

test('a call that waits as long as its objective allows is refused as not run', async () => {
  const setup = await start();
  const pending = await occupySlots(setup, 1500);
  const startedAt = performance.now();
  const answer = await setup.call(write);
  expect(answer.status).toBe(503);
  expect(JSON.parse(answer.body).error).toMatchObject({ code: 'overloaded', ran: 'no' });
  expect(Number(answer.headers['retry-after'])).toBeGreaterThanOrEqual(1);
  expect(performance.now() - startedAt).toBeLessThan(1300);
  await Promise.all(pending);
  expect(setup.apps[0]!.arrivals).toBe(slots);
});

test('a call whose caller leaves while it waits is not sent', async () => {
  const setup = await start();
  const pending = await occupySlots(setup, 400);
  await setup.call({ ...write, closeAfterMs: 100 });
  await Promise.all(pending);
  await wait(300);
  expect(setup.apps[0]!.arrivals).toBe(slots);
});

test('a call with a short deadline is refused as not run before it', async () => {
  const setup = await start();
  const pending = await occupySlots(setup, 1500);
  const startedAt = performance.now();
  const answer = await setup.call({ ...write, headers: { 'request-deadline-ms': '200' } });
  expect(JSON.parse(answer.body).error.ran).toBe('no');
  expect(performance.now() - startedAt).toBeLessThan(500);
  await Promise.all(pending);
  expect(setup.apps[0]!.arrivals).toBe(slots);
});

test('a call that waits when the entry stops is refused as not run with `stopping`', async () => {
  const setup = await start();
  const pending = await occupySlots(setup, 1500);
  const waiting = setup.call(write);
  await wait(100);
  const stopped = setup.gateway.stop();
  expect(JSON.parse((await waiting).body).error).toMatchObject({ code: 'stopping', ran: 'no' });
  await Promise.all([stopped, ...pending]);
});

test('a full queue refuses a call at once', async () => {
  const setup = await start({
    gateway: { queue: { maxQueue: 0, maxQueueBytes: 1000, priorityFloor: 0.1 } },
  });
  const pending = await occupySlots(setup, 1500);
  const startedAt = performance.now();
  expect((await setup.call(write)).status).toBe(503);
  expect(performance.now() - startedAt).toBeLessThan(300);
  await Promise.all(pending);
});

test('a stream that its only target did not run waits until the target accepts it', async () => {
  const routes = routesWith({ targetLatencyMs: 3000, targetGapMs: 3000 });
  const setup = await start({ pool: [[0, 8]], config: { routes } });
  const [engine] = setup.pool;
  engine!.behaviour = 'not-run';
  const pending = setup.stream({ headers: { 'request-deadline-ms': '5000' } });
  await wait(400);
  engine!.behaviour = 'answer';
  expect(await pending).toMatchObject({ status: 200, isComplete: true });
  expect(engine!.arrivals).toBeLessThan(7);
});

test('a stream that targets keep refusing is refused as not run, within its objective', async () => {
  const setup = await start({ pool: [[0, 8]] });
  setup.pool[0]!.behaviour = 'not-run';
  const startedAt = performance.now();
  const answer = await setup.stream({ headers: { 'request-deadline-ms': '5000' } });
  expect(JSON.parse(answer.body).error).toMatchObject({ code: 'overloaded', ran: 'no' });
  expect(performance.now() - startedAt).toBeLessThan(1500);
});

test('targets are told no priority if all requests of a service have the same', async () => {
  const { call, apps } = await start();
  await call();
  expect(apps[0]!.ran[0]!.headers).not.toHaveProperty('request-priority');
});

test('targets are told the priority if requests of a service differ in it', async () => {
  const routes = routesWith({}).map((route) => ({ ...route, priority: route.name === 'read' ? 2 : 7 }));
  const { call, apps } = await start({
    config: { routes, tenants: [{ name: 'org', apiKeys: ['key-1'] }] },
  });
  await call();
  await call(write);
  expect(apps[0]!.ran.map(({ headers }) => headers['request-priority'])).toEqual(['2', '7']);
});

test('a resumed stream is sent with the highest priority, a new one of one class with none', async () => {
  const { stream, pool } = await start({ pool: [[0, 8], [0, 8]], engine: { events: 6 } });
  pool.forEach((engine) => Object.assign(engine, { behaviour: 'half' }));
  expect(await stream()).toMatchObject({ isComplete: true });
  const told = pool.flatMap(({ ran }) => ran)
    .map(({ headers }) => [headers['last-event-id'], headers['request-priority']]);
  expect(told.sort()).toEqual([[undefined, undefined], ['2', '0']]);
});
