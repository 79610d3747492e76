/** Targets that limit the rate of their requests, with several gateways. */
import { afterEach, expect, test } from 'vitest';
import type { Gateway } from '@verbenashunt/gateway';
import type { TargetStandIn } from '@verbenashunt/platform/stand-in';
import {
  callGateway, startGateway, startGatewayFixture, streamHeaders, type CallerAnswer,
  type GatewayFixture, type GatewayFixtureOptions,
} from '../support/gateway-fixture.js';
import { wait } from '../support/timing.js';

/** Time in milliseconds, a bound of the settings, from which on the limits bind. */
const contactMs = 3000;
/** Length of the windows in which requests are counted, in milliseconds. */
const windowMs = 4000;
/** Time in milliseconds for which requests are sent. */
const sentMs = contactMs + 2 * windowMs;
/** Requests that a target may get in a window beyond one and a half times what its limit allows. */
const allowedExtra = 5;
const limitPerS = 2;

let fixture: GatewayFixture;
const gateways: Gateway[] = [];

afterEach(async () => {
  await Promise.all(gateways.splice(0).map((gateway) => gateway.stop(AbortSignal.abort())));
  await fixture.close();
});

/** Starts three gateways that can reach each other. */
async function startFleet(options: GatewayFixtureOptions) {
  const relay = { host: '127.0.0.1', port: 0 };
  fixture = await startGatewayFixture({ ...options, gateway: { relay } });
  gateways.push(...await Promise.all(['entry-2', 'entry-3']
    .map((node) => startGateway(fixture.store, node, { relay }))));
  // By then each gateway has read the rows of the others.
  await wait(1500);
}

const ports = () => [fixture.gateway, ...gateways].map((gateway) => gateway.ports.front);

/** Sends requests at an interval to the gateways in turn; resolves to all answers. */
async function sendAll(intervalMs: number, send: (port: number) => Promise<CallerAnswer>) {
  const answers: Promise<CallerAnswer>[] = [];
  const until = performance.now() + sentMs;
  for (let i = 0; performance.now() < until; i += 1) {
    answers.push(send(ports()[i % ports().length]!));
    await wait(intervalMs);
  }
  return Promise.all(answers);
}

const sendStream = (port: number) => callGateway(port, {
  method: 'POST',
  path: '/chat/x',
  body: 'prompt',
  headers: { ...streamHeaders, 'request-deadline-ms': '4000' },
});
const sendCall = (port: number) => callGateway(port);

/** Most requests that a target got in any window that began `contactMs` after `since`. */
function mostInWindow({ contactTimes }: TargetStandIn, since: number): number {
  const times = contactTimes.filter((time) => time >= since + contactMs);
  return Math.max(0, ...times.map((start) => times
    .filter((time) => time >= start && time < start + windowMs).length));
}

const allowed = (1.5 * limitPerS * windowMs) / 1000 + allowedExtra;
const limitAll = (targets: readonly TargetStandIn[]) => targets
  .forEach((target) => Object.assign(target, { limit: String(limitPerS) }));
const countServed = (answers: readonly CallerAnswer[]) => answers
  .filter(({ status, isComplete }) => status === 200 && isComplete).length;
/** Requests that the targets take in the time in which requests are sent. */
const capacityOf = (targets: readonly TargetStandIn[]) => (
  targets.length * limitPerS * sentMs) / 1000;

test.each([
  ['streams', { pool: Array.from({ length: 4 }, (): [number, number] => [0, 8]) }, sendStream, 40],
  ['calls', { apps: 4 }, sendCall, 40],
] as const)('gateways together stay within the limits of targets: %s', async (_, options, send, intervalMs) => {
  await startFleet(options);
  const targets = 'pool' in options ? fixture.pool : fixture.apps;
  limitAll(targets);
  const startedAt = performance.now();
  const answers = await sendAll(intervalMs, send);
  const most = targets.map((target) => mostInWindow(target, startedAt));
  expect(Math.max(...most)).toBeLessThanOrEqual(allowed);
  // What the targets take is also given to them, and all others are refused as not run.
  expect(countServed(answers)).toBeGreaterThan(0.7 * capacityOf(targets));
  const refused = answers.filter(({ status }) => status !== 200);
  expect(refused.every(({ status, body }) => status === 503 && body.includes('"ran":"no"'))).toBe(true);
});

test('requests go to targets without a limit while those with one are at it', async () => {
  await startFleet({ pool: [[0, 8], [0, 8], [0, 8]] });
  const limited = fixture.pool.slice(0, 2);
  limitAll(limited);
  const startedAt = performance.now();
  const answers = await sendAll(40, sendStream);
  expect(limited.map((target) => mostInWindow(target, startedAt)).filter((most) => most > allowed))
    .toEqual([]);
  expect(countServed(answers)).toBe(answers.length);
});
