/** Targets that say in their responses that they are leaving or want a pause. */
import {
  afterEach, expect, test, vi,
} from 'vitest';
import type { TargetStandIn } from '@verbenashunt/platform/stand-in';
import { startGatewayFixture, type GatewayFixture } from '../support/gateway-fixture.js';
import { wait } from '../support/timing.js';

let fixture: GatewayFixture;

afterEach(() => fixture.close());

const callTimes = async (count: number) => (await Promise.all(
  Array.from({ length: count }, () => fixture.call()),
)).map(({ status }) => status);
const arrivalsOf = (targets: readonly TargetStandIn[]) => targets.map(({ arrivals }) => arrivals);

test('a target that says it is leaving gets no new calls', async () => {
  fixture = await startGatewayFixture({ apps: 2 });
  const [leaving, other] = fixture.apps as [TargetStandIn, TargetStandIn];
  leaving.leaving = '1';
  await vi.waitFor(async () => {
    await fixture.call();
    expect(leaving.arrivals).toBe(1);
  });
  const before = other.arrivals;
  expect(await callTimes(20)).toEqual(Array(20).fill(200));
  expect([leaving.arrivals, other.arrivals]).toEqual([1, before + 20]);
});

test('a row that changes later does not undo what the target said, a restart does', async () => {
  fixture = await startGatewayFixture({ apps: 2 });
  const [leaving] = fixture.apps as [TargetStandIn, TargetStandIn];
  leaving.leaving = '1';
  await vi.waitFor(async () => {
    await fixture.call();
    expect(leaving.arrivals).toBe(1);
  });
  leaving.leaving = undefined;
  const row = leaving.row('app');
  fixture.store.put('servers', leaving.id, { ...row, sequence: 2 });
  await wait(300);
  await callTimes(20);
  expect(leaving.arrivals).toBe(1);
  fixture.store.put('servers', leaving.id, { ...row, born: 2 });
  await wait(300);
  await callTimes(20);
  expect(leaving.arrivals).toBeGreaterThan(1);
});

// Guards against calls to a target that left, when a late write brings its row back.
test('a target whose answer says that it is leaving when its row is gone gets no calls later', async () => {
  fixture = await startGatewayFixture({ apps: 2 });
  const [leaving] = fixture.apps as [TargetStandIn, TargetStandIn];
  fixture.apps.forEach((app) => Object.assign(app, { answerMs: 200 }));
  const calls = callTimes(8);
  await expect.poll(() => leaving.ran.length).toBeGreaterThan(0);
  leaving.leaving = '1';
  fixture.store.remove('servers', leaving.id);
  expect(await calls).toEqual(Array(8).fill(200));
  fixture.apps.forEach((app) => Object.assign(app, { answerMs: 0 }));
  const { arrivals } = leaving;
  fixture.store.put('servers', leaving.id, { ...leaving.row('app'), sequence: 2 });
  await wait(300);
  expect(await callTimes(20)).toEqual(Array(20).fill(200));
  expect(leaving.arrivals).toBe(arrivals);
});

test('an engine that says in its report that it is leaving gets no new streams', async () => {
  fixture = await startGatewayFixture({ pool: [[0, 8], [0, 8]] });
  const [leaving, other] = fixture.pool as [TargetStandIn, TargetStandIn];
  leaving.leaving = '1';
  await wait(2600);
  const before = arrivalsOf([leaving, other]);
  const answers = await Promise.all(Array.from({ length: 6 }, () => fixture.stream()));
  expect(answers.map(({ status }) => status)).toEqual(Array(6).fill(200));
  expect(arrivalsOf([leaving, other])).toEqual([before[0], before[1]! + 6]);
});

test('a target that wants a pause gets nothing until its end', async () => {
  fixture = await startGatewayFixture({ apps: 2 });
  const [busy, other] = fixture.apps as [TargetStandIn, TargetStandIn];
  Object.assign(busy, { behaviour: 'not-run', retryAfter: '1.5' });
  await vi.waitFor(async () => {
    await fixture.call();
    expect(busy.arrivals).toBe(1);
  });
  const before = other.arrivals;
  expect(await callTimes(20)).toEqual(Array(20).fill(200));
  expect([busy.contacts, busy.arrivals, other.arrivals]).toEqual([1, 1, before + 20]);
  busy.behaviour = 'answer';
  await wait(1600);
  await callTimes(20);
  expect(busy.arrivals).toBeGreaterThan(1);
});

test('an engine that wants a pause gets neither streams nor requests for reports', async () => {
  fixture = await startGatewayFixture({ pool: [[0, 8], [0, 8]] });
  const [busy] = fixture.pool as [TargetStandIn];
  Object.assign(busy, { behaviour: 'not-run', retryAfter: '4' });
  await vi.waitFor(async () => {
    await fixture.stream();
    expect(busy.arrivals).toBe(1);
  });
  const { contacts } = busy;
  const answers = await Promise.all(Array.from({ length: 6 }, () => fixture.stream()));
  expect(answers.map(({ status }) => status)).toEqual(Array(6).fill(200));
  await wait(2500);
  expect(busy.contacts).toBe(contacts);
});

test('a call is refused at once if all targets want a pause, until the first one ends', async () => {
  fixture = await startGatewayFixture({ apps: 2 });
  const [a, b] = fixture.apps as [TargetStandIn, TargetStandIn];
  Object.assign(a, { behaviour: 'not-run', retryAfter: '30' });
  Object.assign(b, { behaviour: 'not-run', retryAfter: '20' });
  await vi.waitFor(async () => {
    await fixture.call();
    expect(arrivalsOf([a, b])).toEqual([1, 1]);
  });
  const startedAt = performance.now();
  const { status, headers, body } = await fixture.call();
  expect(performance.now() - startedAt).toBeLessThan(500);
  expect(status).toBe(503);
  expect(JSON.parse(body)).toMatchObject({ error: { ran: 'no' } });
  expect(Number(headers['retry-after'])).toBeGreaterThan(18);
  expect(Number(headers['retry-after'])).toBeLessThan(23);
  expect(arrivalsOf([a, b])).toEqual([1, 1]);
});

test('an invalid header of an answer is counted once', async () => {
  const invalid: string[] = [];
  fixture = await startGatewayFixture({
    apps: 1, ports: { onInvalidHeader: (...header) => invalid.push(header.join('=')) },
  });
  fixture.apps[0]!.limit = 'none';
  expect(await callTimes(3)).toEqual([200, 200, 200]);
  expect(invalid).toEqual(Array(3).fill('server-limit=none'));
});
