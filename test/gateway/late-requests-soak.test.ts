/**
 * Seeded soak of callers that send requests in parts and keep their connections, while the process
 * stands still again and again and then stops.
 * By hand: `SOAK_SEEDS=50 npx vitest run test/gateway/late-requests-soak`.
 */
import { afterEach, expect, test } from 'vitest';
import { operatorConfig } from '@verbenashunt/platform/stand-in';
import { createRandom } from '@verbenashunt/stand-ins';
import { startGatewayFixture, type GatewayFixture } from '../support/gateway-fixture.js';
import { openRaw, type RawConnection } from '../support/raw-connection.js';
import { blockLoop, repeatUntil, wait } from '../support/timing.js';

const seedCount = Number(process.env.SOAK_SEEDS ?? 2);
const seeds = Array.from({ length: seedCount }, (_, i) => i + 1);
const runMs = 5000;
const callerCount = 40;
const requestsPerConnection = 4;
const headerTimeoutMs = 400;
const idleTimeoutMs = 300;
const graceMs = 2000;
/** Longest pause between two parts of a request; several of them make a caller late. */
const maxPauseMs = 300;
const answerTimeoutMs = 8000;
/** Statuses that tell a caller that its request has not run and never will. */
const notRunStatuses = [408, 421, 429, 503];

interface Seen {
  id: string;
  /** Undefined if the connection ended without an answer. */
  status: number | undefined;
}

let fixture: GatewayFixture;

afterEach(() => fixture.close());

const body = 'order';
const requestText = (id: string, isChunked: boolean) => [
  'POST /write/a HTTP/1.1', 'host: app.example', `request-id: ${id}`, 'request-deadline-ms: 1500',
  'authorization: Bearer key-1',
  ...(isChunked
    ? ['transfer-encoding: chunked', '', `${body.length}`, body, '0', '', '']
    : [`content-length: ${body.length}`, '', body]),
].join('\r\n');

/** Cuts a text into two to four parts. */
function partsOf(text: string, random: () => number): string[] {
  const cuts = Array.from({ length: 1 + Math.floor(3 * random()) }, () => (
    Math.floor(random() * text.length))).sort((a, b) => a - b);
  return [0, ...cuts].map((start, i) => text.slice(start, cuts[i]));
}

const statusesOf = ({ received }: RawConnection) => [...received.matchAll(/HTTP\/1\.1 (\d+) /g)]
  .map(([, status]) => Number(status));

/** Calls a step for each item, one after the other. */
const inTurn = <T>(items: readonly T[], step: (item: T) => Promise<void>) => items
  .reduce((before, item) => before.then(() => step(item)), Promise.resolve());

/** Sends requests on one connection until it ends; each waits for the answer to the one before. */
async function callInParts(name: string, random: () => number): Promise<Seen[]> {
  const connection = openRaw(fixture.gateway.ports.front);
  const seen: Seen[] = [];
  await inTurn(Array.from({ length: requestsPerConnection }, (_, i) => i), async (i) => {
    if (connection.isEnded) return;
    const id = `${name}-${i}`;
    await inTurn(partsOf(requestText(id, random() < 0.3), random), async (part) => {
      connection.write(part);
      await wait(random() < 0.5 ? 0 : maxPauseMs * random());
    });
    const answered = () => statusesOf(connection).length > i || connection.isEnded;
    await expect.poll(answered, { timeout: answerTimeoutMs }).toBe(true);
    seen.push({ id, status: statusesOf(connection)[i] });
    await wait(1.2 * idleTimeoutMs * random());
  });
  connection.socket.destroy();
  return seen;
}

test.each(seeds)('no request that was refused as not run ever runs, and each that ran is answered, seed %i', async (seed) => {
  const random = createRandom(seed);
  const limits = { ...operatorConfig(1).limits, headerTimeoutMs, idleTimeoutMs };
  fixture = await startGatewayFixture({ apps: 2, config: { limits }, gateway: { graceMs } });
  const seen: Seen[] = [];
  const endsAt = performance.now() + runMs;
  let connections = 0;
  const calling = Promise.all(Array.from({ length: callerCount }, () => (
    repeatUntil(endsAt + graceMs, () => 50, async () => {
      connections += 1;
      seen.push(...await callInParts(`${seed}-${connections}`, random));
    }))));
  await repeatUntil(endsAt, () => 600 * random(), () => blockLoop(1500 * random()));
  await fixture.gateway.stop();
  await calling;
  const ran = fixture.apps.flatMap((app) => app.ran.map(({ id }) => id));
  const refused = seen.filter(({ status }) => notRunStatuses.includes(status!));
  const unanswered = seen.filter(({ status }) => status === undefined).map(({ id }) => id);
  expect(refused.filter(({ id }) => ran.includes(id))).toEqual([]);
  expect(unanswered.filter((id) => ran.includes(id))).toEqual([]);
  expect(refused.some(({ status }) => status === 408)).toBe(true);
  expect(seen.filter(({ status }) => status === 200).length).toBeGreaterThan(callerCount);
});
