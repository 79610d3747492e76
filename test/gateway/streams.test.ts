/** Streams through a gateway: whole, in order, resumed and sent round dead stages. */
import { afterEach, expect, test } from 'vitest';
import { eventText, operatorConfig } from '@verbenashunt/platform/stand-in';
import { startGatewayFixture, type GatewayFixture, type GatewayFixtureOptions } from '../support/gateway-fixture.js';

let world: GatewayFixture;

async function begin(options: GatewayFixtureOptions) {
  world = await startGatewayFixture({ apps: 1, ...options });
  return world;
}

afterEach(() => world.close());

const events = 6;
const whole = Array.from({ length: events }, (_, i) => eventText(i + 1)).join('');
const twoChains: [number, number][] = [[0, 4], [0, 4], [4, 8]];

test('a stream over a chain that covers all layers', async () => {
  const { stream, pool } = await begin({ pool: [[0, 3], [3, 8]], engine: { events } });
  const answer = await stream();
  expect(answer).toMatchObject({ status: 200, body: whole, isComplete: true });
  expect(pool[0]!.ran[0]!.headers['hop-count'])
    .toBe(`${pool[0]!.address}=0-3,${pool[1]!.address}=3-8`);
  expect(pool[1]!.arrivals).toBe(0);
});

test('a hole in the layers: refused as not run', async () => {
  const { stream } = await begin({ pool: [[0, 3], [4, 8]] });
  const answer = await stream();
  expect(answer.status).toBe(503);
  expect(JSON.parse(answer.body).error).toMatchObject({ ran: 'no', code: 'no_chain' });
});

test('one that breaks off goes on at another target after its last event', async () => {
  const it = await begin({ pool: twoChains, engine: { events } });
  it.pool.forEach((engine) => Object.assign(engine, { manner: 'half' }));
  expect(await it.stream()).toMatchObject({ status: 200, body: whole, isComplete: true });
  const ran = it.pool.flatMap((engine) => engine.ran);
  expect(ran.map(({ headers }) => headers['last-event-id']).sort()).toEqual(['2', undefined]);
  expect(it.pool.map((engine) => engine.ran.length)).toEqual([1, 1, 0]);
});

test('one that may not be resumed is cut off, and does not look complete', async () => {
  const it = await begin({ pool: twoChains, engine: { events } });
  it.pool.forEach((engine) => Object.assign(engine, { manner: 'half' }));
  const answer = await it.stream({ path: '/once/x' });
  expect(answer).toMatchObject({ body: eventText(1) + eventText(2), isComplete: false });
  expect(it.pool.flatMap(({ ran }) => ran)).toHaveLength(1);
});

test('attempts are bounded: a second break cuts the answer off', async () => {
  const it = await begin({ pool: twoChains, engine: { events } });
  it.pool.forEach((engine) => Object.assign(engine, { manner: 'half-again' }));
  const answer = await it.stream();
  expect(answer.isComplete).toBe(false);
  expect(whole.startsWith(answer.body)).toBe(true);
  expect(it.pool.flatMap(({ ran }) => ran).length).toBeLessThanOrEqual(2);
});

test('begun streams outlast a target without room, with few questions', async () => {
  // On a busy machine events are late; admission must not refuse the last streams for that.
  const routes = operatorConfig(1).routes
    .map((route) => ({ ...route, targetLatencyMs: 10_000, targetGapMs: 10_000 }));
  const it = await begin({ pool: [[0, 8]], engine: { events, eventMs: 30 }, config: { routes } });
  const [engine] = it.pool;
  engine!.manner = 'half-full';
  const pending = Array.from({ length: 12 }, () => it.stream({ headers: { 'request-deadline-ms': '6000' } }));
  await new Promise((resolve) => {
    setTimeout(resolve, 2000);
  });
  const refused = engine!.arrivals - engine!.ran.length;
  engine!.manner = 'answer';
  const answers = await Promise.all(pending);
  expect(answers.map(({ body }) => body)).toEqual(Array(12).fill(whole));
  expect(answers.every(({ isComplete }) => isComplete)).toBe(true);
  expect(refused).toBeGreaterThan(5);
  expect(refused).toBeLessThan(40);
});

test('a stream that waits for a dead stage is sent round it', async () => {
  const it = await begin({ pool: [[0, 4], [4, 8], [4, 8]], engine: { events } });
  const [first] = it.pool;
  first!.pauseAfter = 2;
  const pending = it.stream({ headers: { 'request-id': 'stalled-1' } });
  await expect.poll(() => first!.ran.length).toBe(1);
  const dead = String(first!.ran[0]!.headers['hop-count']).split(',')[1]!.split('=')[0]!;
  first!.stalled = [{ id: 'stalled-1', address: dead }];
  await expect.poll(() => first!.orders.length, { timeout: 3000 }).toBe(1);
  expect(first!.orders[0]).toMatchObject({ operation: 'repath', id: 'stalled-1' });
  expect(String(first!.orders[0]!.path)).not.toContain(dead);
  await Promise.all([first!.close(), pending]);
});

test('a first target that falls silent is given up and the stream resumed', async () => {
  const it = await begin({ pool: twoChains, engine: { events } });
  it.pool.slice(0, 2).forEach((engine) => Object.assign(engine, { pauseAfter: 3 }));
  const pending = it.stream({ headers: { 'request-deadline-ms': '8000' } });
  await expect.poll(() => it.pool.flatMap(({ ran }) => ran).length).toBe(1);
  const silent = it.pool.find(({ ran }) => ran.length > 0)!;
  it.pool.forEach((engine) => Object.assign(engine, { pauseAfter: undefined }));
  await silent.close();
  expect(await pending).toMatchObject({ body: whole, isComplete: true });
});

test('a stream that its target drops without a word is resumed at another', async () => {
  const it = await begin({ pool: twoChains, engine: { events } });
  it.pool.slice(0, 2).forEach((engine) => Object.assign(engine, { pauseAfter: 3 }));
  const pending = it.stream({ headers: { 'request-deadline-ms': '8000' } });
  await expect.poll(() => it.pool.flatMap(({ ran }) => ran).length).toBe(1);
  const mute = it.pool.find(({ ran }) => ran.length > 0)!;
  const startedAt = performance.now();
  it.pool.filter((engine) => engine !== mute)
    .forEach((engine) => Object.assign(engine, { pauseAfter: undefined }));
  expect(await pending).toMatchObject({ body: whole, isComplete: true });
  expect(performance.now() - startedAt).toBeLessThan(2000);
});

test('a caller that leaves ends the stream at the target', async () => {
  const it = await begin({ pool: [[0, 8]], engine: { events: 500 } });
  await it.stream({ closeAfterMs: 100 });
  await expect.poll(() => it.pool[0]!.ran[0]?.isAborted, { timeout: 400 }).toBe(true);
});

test('a stream that the caller resumes goes on after the event that it names', async () => {
  const it = await begin({ pool: [[0, 8]], engine: { events } });
  const answer = await it.stream({ headers: { 'last-event-id': '4' } });
  expect(answer.body).toBe(eventText(5) + eventText(6));
});

test('empty targets are given layers once the list stands still', async () => {
  const it = await begin({ pool: [[0, 0], [0, 0]], engine: { events } });
  await expect.poll(() => it.pool.map(({ held }) => held), { timeout: 5000 })
    .toEqual([{ from: 0, to: 4, version: 1 }, { from: 4, to: 8, version: 1 }]);
  await expect.poll(async () => (await it.stream()).status, { timeout: 5000 }).toBe(200);
});

test('an empty target that is dead holds up no hole', async () => {
  const it = await begin({ pool: [[0, 4], [0, 0], [0, 0]], engine: { events } });
  const [first, dead, sound] = it.pool;
  await dead!.close();
  const lastLayer = () => Math.max(...[first, sound].map((engine) => engine!.held?.to ?? 0));
  await expect.poll(lastLayer, { timeout: 12_000 }).toBe(8);
  await expect.poll(async () => (await it.stream()).status, { timeout: 5000 }).toBe(200);
});
