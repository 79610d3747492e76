/** Planned stops in calm: what can't end before the process is refused as not run, and at once. */
import { afterEach, expect, test } from 'vitest';
import type { Gateway } from '@verbenashunt/gateway';
import { operatorConfig } from '@verbenashunt/platform/stand-in';
import {
  startGateway, startGatewayFixture, type GatewayFixture, type GatewayFixtureOptions,
} from '../support/gateway-fixture.js';
import { openRaw } from '../support/raw-connection.js';
import { wait } from '../support/timing.js';

const graceMs = 4000;
/** Time from the stop after which nothing is sent whose deadline lies beyond the grace time. */
const lastSendMs = 0.35 * graceMs;

let fixture: GatewayFixture;
let stopped: Promise<boolean> | undefined;
let other: Gateway | undefined;

afterEach(async () => {
  await stopped;
  stopped = undefined;
  await other?.stop(AbortSignal.abort());
  other = undefined;
  await fixture.close();
});

async function start(options: GatewayFixtureOptions = {}) {
  const routes = operatorConfig(1).routes
    .map((route) => ({
      ...route, timeoutMs: 20_000, targetLatencyMs: 10_000, targetGapMs: 2000,
    }));
  fixture = await startGatewayFixture({
    apps: 1, config: { routes }, gateway: { graceMs }, ...options,
  });
}

const headers = { 'request-deadline-ms': '20000' };
const once = { path: '/once/x', headers };
const write = {
  method: 'POST', path: '/write/a', body: 'order', headers,
};

/** Sends a request; resolves to its answer and how long that took. */
async function timed<T>(answer: Promise<T>) {
  const startedAt = performance.now();
  return { ...await answer, ms: performance.now() - startedAt };
}

const notRun = (body: string) => JSON.parse(body).error as { code: string; ran: string };

/** Starts another entry; resolves when it has announced itself. */
async function startOther() {
  const { store } = fixture;
  other = await startGateway(store, 'entry-2');
  await expect.poll(() => store.read('verbenashunt', 'entry.entry-2'), { timeout: 5000 }).toBeTruthy();
}

// Guards against a stream that is cut off at the end of the grace time, and can't be repeated.
test('a stream that lasts longer than the rest of the grace time is refused at once', async () => {
  await start({ pool: [[0, 8]], engine: { events: 30, eventMs: 100 } });
  const [engine] = fixture.pool;
  await startOther();
  const before = await Promise.all(Array.from({ length: 4 }, () => fixture.stream(once)));
  expect(before.map(({ isComplete }) => isComplete)).toEqual(Array(4).fill(true));
  stopped = fixture.gateway.stop();
  await wait(800);
  const { status, body, ms } = await timed(fixture.stream(once));
  expect(status).toBe(503);
  expect(notRun(body)).toMatchObject({ code: 'stopping', ran: 'no' });
  expect(ms).toBeLessThan(300);
  expect(engine!.ran).toHaveLength(4);
});

test('a stream that may last longer is begun while no other entry serves', async () => {
  await start({ pool: [[0, 8]], engine: { events: 30, eventMs: 100 } });
  await Promise.all(Array.from({ length: 4 }, () => fixture.stream(once)));
  stopped = fixture.gateway.stop();
  await wait(100);
  expect(await fixture.stream(once)).toMatchObject({ status: 200, isComplete: true });
});

test('a stream that ends in the rest of the grace time is served', async () => {
  await start({ pool: [[0, 8]], engine: { events: 20, eventMs: 50 } });
  await startOther();
  await Promise.all(Array.from({ length: 4 }, () => fixture.stream(once)));
  stopped = fixture.gateway.stop();
  await wait(800);
  expect(await fixture.stream(once)).toMatchObject({ status: 200, isComplete: true });
});

// Guards against a call that is passed on after its body came late, and cut off with the process.
test('a call whose body is complete only late in the grace time is refused as not run', async () => {
  await start();
  const [app] = fixture.apps;
  app!.answerMs = 2000;
  const caller = openRaw(fixture.gateway.ports.front);
  caller.write('POST /write/a HTTP/1.1\r\nhost: app.example\r\nrequest-id: slow\r\nrequest-deadline-ms: 20000\r\nauthorization: Bearer key-1\r\ncontent-length: 4\r\n\r\nbod');
  await wait(100);
  stopped = fixture.gateway.stop();
  await wait(lastSendMs + 800);
  caller.write('y');
  await expect.poll(() => caller.isEnded, { timeout: 3000 }).toBe(true);
  expect(caller.received).toMatch(/^HTTP\/1\.1 503 /);
  expect(caller.received).toContain('"ran":"no"');
  expect(app!.ran).toHaveLength(0);
  caller.socket.destroy();
});

// Guards against a wait until the end of the grace time for a slot that comes too late.
test('a call that waits for a slot is refused as soon as it is too late to send it', async () => {
  await start();
  const [app] = fixture.apps;
  app!.behaviour = 'silent';
  const slots = 8;
  const busy = Array.from({ length: slots }, () => fixture.call(write));
  await expect.poll(() => app!.arrivals).toBe(slots);
  const waiting = timed(fixture.call(write));
  await wait(100);
  stopped = fixture.gateway.stop();
  const { status, body, ms } = await waiting;
  expect(status).toBe(503);
  expect(notRun(body)).toMatchObject({ code: 'stopping', ran: 'no' });
  expect(ms).toBeLessThan(lastSendMs + 800);
  expect(app!.arrivals).toBe(slots);
  const answers = await Promise.all(busy);
  expect(answers.map((answer) => answer.status)).toEqual(Array(slots).fill(504));
});

// Guards against a retry that a target begins when the process can no longer wait for its end.
test('a call that a target has not run is not sent again late in the grace time', async () => {
  await start({ apps: 2 });
  fixture.apps.forEach((app) => Object.assign(app, { behaviour: 'not-run' }));
  const [first, second] = fixture.apps;
  first!.refusalMs = lastSendMs + 600;
  second!.refusalMs = first!.refusalMs;
  const pending = timed(fixture.call(write));
  await expect.poll(() => first!.arrivals + second!.arrivals).toBe(1);
  stopped = fixture.gateway.stop();
  const { status, body } = await pending;
  expect(status).toBe(503);
  expect(notRun(body).ran).toBe('no');
  expect(first!.arrivals + second!.arrivals).toBe(1);
});

// Guards against a refusal in place of an answer that a target has given, as a retry is too late.
test('the error of a target is passed on when it is too late in the grace time to try again', async () => {
  await start({ apps: 2 });
  fixture.apps.forEach((app) => Object.assign(app, { behaviour: 'fail', answerMs: lastSendMs + 600 }));
  const pending = fixture.call({ headers });
  const countArrivals = () => fixture.apps.reduce((sum, { arrivals }) => sum + arrivals, 0);
  await expect.poll(countArrivals).toBe(1);
  stopped = fixture.gateway.stop();
  const answer = await pending;
  expect(answer).toMatchObject({ status: 500, isComplete: true });
  expect(answer.headers['server-stamp']).toMatch(/^stamp\.app-/);
  expect(countArrivals()).toBe(1);
});

test('a call on a kept connection is served while its deadline is before the end of the stop', async () => {
  await start();
  const caller = openRaw(fixture.gateway.ports.front);
  const send = (id: string, deadlineMs: number) => caller.write(`GET /read/a HTTP/1.1\r\nhost: app.example\r\nrequest-id: ${id}\r\nrequest-deadline-ms: ${deadlineMs}\r\nauthorization: Bearer key-1\r\n\r\n`);
  send('first', 20_000);
  await expect.poll(() => caller.received).toContain('answer of app-0');
  stopped = fixture.gateway.stop();
  await wait(1800);
  send('second', 500);
  await expect.poll(() => caller.received.match(/HTTP\/1\.1 200 /g)).toHaveLength(2);
  caller.socket.destroy();
});
