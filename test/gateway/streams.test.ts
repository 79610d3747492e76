/** Streams through a gateway: completeness, order, resumption and rerouting around dead stages. */
import { afterEach, expect, test } from 'vitest';
import { eventText, operatorConfig } from '@verbenashunt/platform/stand-in';
import { startGatewayFixture, type GatewayFixture, type GatewayFixtureOptions } from '../support/gateway-fixture.js';

let fixture: GatewayFixture;

async function start(options: GatewayFixtureOptions) {
  fixture = await startGatewayFixture({ apps: 1, ...options });
  return fixture;
}

afterEach(() => fixture.close());

const eventCount = 6;
const allEvents = Array.from({ length: eventCount }, (_, i) => eventText(i + 1)).join('');
const twoChains: [number, number][] = [[0, 4], [0, 4], [4, 8]];

/** Routes with one attempt more: to resume a broken stream, and to find that it is whole. */
const threeAttempts = {
  routes: operatorConfig(1).routes.map((route) => ({ ...route, maxAttempts: 3 })),
};

test('a stream runs over a chain that covers all layers', async () => {
  const { stream, pool } = await start({ pool: [[0, 3], [3, 8]], engine: { events: eventCount } });
  const answer = await stream();
  expect(answer).toMatchObject({ status: 200, body: allEvents, isComplete: true });
  expect(pool[0]!.ran[0]!.headers['hop-count'])
    .toBe(`${pool[0]!.address}=0-3,${pool[1]!.address}=3-8`);
  expect(pool[1]!.arrivals).toBe(0);
});

test('a stream is refused as not run when a layer has no target', async () => {
  const { stream } = await start({ pool: [[0, 3], [4, 8]] });
  const answer = await stream();
  expect(answer.status).toBe(503);
  expect(JSON.parse(answer.body).error).toMatchObject({ ran: 'no', code: 'no_chain' });
});

test('a broken stream continues at another target after its last event', async () => {
  const setup = await start({ pool: twoChains, engine: { events: eventCount } });
  setup.pool.forEach((engine) => Object.assign(engine, { behaviour: 'half' }));
  expect(await setup.stream()).toMatchObject({ status: 200, body: allEvents, isComplete: true });
  const ran = setup.pool.flatMap((engine) => engine.ran);
  expect(ran.map(({ headers }) => headers['last-event-id']).sort()).toEqual(['2', undefined]);
  expect(setup.pool.map((engine) => engine.ran.length)).toEqual([1, 1, 0]);
});

test('a broken stream that may not be resumed is cut off and does not look complete', async () => {
  const setup = await start({ pool: twoChains, engine: { events: eventCount } });
  setup.pool.forEach((engine) => Object.assign(engine, { behaviour: 'half' }));
  const answer = await setup.stream({ path: '/once/x' });
  expect(answer).toMatchObject({ body: eventText(1) + eventText(2), isComplete: false });
  expect(setup.pool.flatMap(({ ran }) => ran)).toHaveLength(1);
});

test('a begun stream is cut off when the target that is to go on answers with anything but a stream', async () => {
  const setup = await start({ pool: twoChains, engine: { events: eventCount } });
  setup.pool.forEach((engine) => Object.assign(engine, { behaviour: 'half-unknown' }));
  const answer = await setup.stream();
  expect(answer).toMatchObject({ body: eventText(1) + eventText(2), isComplete: false });
  expect(setup.pool.flatMap(({ ran }) => ran)).toHaveLength(2);
});

test.each(['half-page', 'half-error-event', 'head-inside', 'half-again', 'fail'] as const)('no text of an error stands in a begun stream: %s', async (behaviour) => {
  const setup = await start({
    pool: twoChains, engine: { events: eventCount }, config: threeAttempts,
  });
  setup.pool.forEach((engine) => Object.assign(engine, { behaviour }));
  const answer = await setup.stream();
  expect(allEvents.startsWith(answer.body)).toBe(true);
  expect(answer.isComplete).toBe(answer.body === allEvents);
});

test('the answer is cut off when a stream breaks a second time, as attempts are limited', async () => {
  const setup = await start({ pool: twoChains, engine: { events: eventCount } });
  setup.pool.forEach((engine) => Object.assign(engine, { behaviour: 'half-again' }));
  const answer = await setup.stream();
  expect(answer.isComplete).toBe(false);
  expect(allEvents.startsWith(answer.body)).toBe(true);
  expect(setup.pool.flatMap(({ ran }) => ran).length).toBeLessThanOrEqual(2);
});

test('partly delivered streams wait for a full target with few attempts, then complete', async () => {
  // Wide latency bounds, as events are late on a busy machine and admission would refuse streams.
  const routes = operatorConfig(1).routes
    .map((route) => ({ ...route, targetLatencyMs: 10_000, targetGapMs: 10_000 }));
  const setup = await start({
    pool: [[0, 8]], engine: { events: eventCount, eventMs: 30 }, config: { routes },
  });
  const [engine] = setup.pool;
  engine!.behaviour = 'half-full';
  const pending = Array.from({ length: 12 }, () => setup.stream({ headers: { 'request-deadline-ms': '6000' } }));
  await new Promise((resolve) => {
    setTimeout(resolve, 2000);
  });
  const refused = engine!.arrivals - engine!.ran.length;
  engine!.behaviour = 'answer';
  const answers = await Promise.all(pending);
  expect(answers.map(({ body }) => body)).toEqual(Array(12).fill(allEvents));
  expect(answers.every(({ isComplete }) => isComplete)).toBe(true);
  expect(refused).toBeGreaterThan(5);
  expect(refused).toBeLessThan(40);
});

test('a stream without a length or chunks is whole when another run finds no event after its last', async () => {
  const setup = await start({ pool: [[0, 8], [0, 8]], engine: { events: eventCount } });
  setup.pool.forEach((engine) => Object.assign(engine, { behaviour: 'unframed-stream' }));
  expect(await setup.stream()).toMatchObject({ status: 200, body: allEvents, isComplete: true });
  expect(setup.pool.map(({ ran }) => ran.length)).toEqual([1, 1]);
  const lastIds = setup.pool.map(({ ran }) => ran[0]!.headers['last-event-id']);
  expect(lastIds.sort()).toEqual([String(eventCount), undefined]);
});

test.each(['unframed-half', 'unframed-crash'] as const)('a stream without a length or chunks is resumed if it breaks off: %s', async (behaviour) => {
  const setup = await start({
    pool: [[0, 8], [0, 8]], engine: { events: eventCount }, config: threeAttempts,
  });
  setup.pool.forEach((engine) => Object.assign(engine, { behaviour }));
  expect(await setup.stream()).toMatchObject({ status: 200, body: allEvents, isComplete: true });
  const lastIds = setup.pool.flatMap(({ ran }) => ran.map(({ headers }) => headers['last-event-id']));
  expect(lastIds.sort()).toEqual(['1', String(eventCount), undefined]);
});

test('a stream that waits for a dead stage is rerouted around it', async () => {
  const setup = await start({ pool: [[0, 4], [4, 8], [4, 8]], engine: { events: eventCount } });
  const [first] = setup.pool;
  first!.pauseAfter = 2;
  const pending = setup.stream({ headers: { 'request-id': 'stalled-1' } });
  await expect.poll(() => first!.ran.length).toBe(1);
  const dead = String(first!.ran[0]!.headers['hop-count']).split(',')[1]!.split('=')[0]!;
  first!.stalled = [{ id: 'stalled-1', address: dead }];
  await expect.poll(() => first!.orders.length, { timeout: 3000 }).toBe(1);
  expect(first!.orders[0]).toMatchObject({ operation: 'repath', id: 'stalled-1' });
  expect(String(first!.orders[0]!.path)).not.toContain(dead);
  await Promise.all([first!.close(), pending]);
});

test('a stream is resumed at another target when its first target is unreachable', async () => {
  const setup = await start({ pool: twoChains, engine: { events: eventCount } });
  setup.pool.slice(0, 2).forEach((engine) => Object.assign(engine, { pauseAfter: 3 }));
  const pending = setup.stream({ headers: { 'request-deadline-ms': '8000' } });
  await expect.poll(() => setup.pool.flatMap(({ ran }) => ran).length).toBe(1);
  const silentEngine = setup.pool.find(({ ran }) => ran.length > 0)!;
  setup.pool.forEach((engine) => Object.assign(engine, { pauseAfter: undefined }));
  await silentEngine.close();
  expect(await pending).toMatchObject({ body: allEvents, isComplete: true });
});

test('a stream that its target drops silently is resumed at another target', async () => {
  const setup = await start({ pool: twoChains, engine: { events: eventCount } });
  setup.pool.slice(0, 2).forEach((engine) => Object.assign(engine, { pauseAfter: 3 }));
  const pending = setup.stream({ headers: { 'request-deadline-ms': '8000' } });
  await expect.poll(() => setup.pool.flatMap(({ ran }) => ran).length).toBe(1);
  const silentEngine = setup.pool.find(({ ran }) => ran.length > 0)!;
  const startedAt = performance.now();
  setup.pool.filter((engine) => engine !== silentEngine)
    .forEach((engine) => Object.assign(engine, { pauseAfter: undefined }));
  expect(await pending).toMatchObject({ body: allEvents, isComplete: true });
  expect(performance.now() - startedAt).toBeLessThan(2000);
});

test('the stream is aborted at the target when the caller disconnects', async () => {
  const setup = await start({ pool: [[0, 8]], engine: { events: 500 } });
  await setup.stream({ closeAfterMs: 100 });
  await expect.poll(() => setup.pool[0]!.ran[0]?.isAborted, { timeout: 400 }).toBe(true);
});

test('a stream that the caller resumes continues after the event in its last-event-id header', async () => {
  const setup = await start({ pool: [[0, 8]], engine: { events: eventCount } });
  const answer = await setup.stream({ headers: { 'last-event-id': '4' } });
  expect(answer.body).toBe(eventText(5) + eventText(6));
});

test('empty targets are assigned layers once the target list is stable', async () => {
  const setup = await start({ pool: [[0, 0], [0, 0]], engine: { events: eventCount } });
  await expect.poll(() => setup.pool.map(({ held }) => held), { timeout: 5000 })
    .toEqual([{ from: 0, to: 4, version: 1 }, { from: 4, to: 8, version: 1 }]);
  await expect.poll(async () => (await setup.stream()).status, { timeout: 5000 }).toBe(200);
});

test('a dead empty target does not prevent a missing layer range from being assigned to another', async () => {
  const setup = await start({ pool: [[0, 4], [0, 0], [0, 0]], engine: { events: eventCount } });
  const [first, dead, live] = setup.pool;
  await dead!.close();
  const lastLayer = () => Math.max(...[first, live].map((engine) => engine!.held?.to ?? 0));
  await expect.poll(lastLayer, { timeout: 12_000 }).toBe(8);
  await expect.poll(async () => (await setup.stream()).status, { timeout: 5000 }).toBe(200);
});
