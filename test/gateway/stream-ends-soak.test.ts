/**
 * Seeded soak of streams whose targets change, again and again, how they frame and end them, while
 * entries are replaced. By hand: `SOAK_SEEDS=50 npx vitest run test/gateway/stream-ends-soak`.
 */
import { afterEach, expect, test } from 'vitest';
import type { Gateway, GatewayOptions } from '@verbenashunt/gateway';
import { eventText, type TargetBehaviour } from '@verbenashunt/platform/stand-in';
import { createRandom } from '@verbenashunt/stand-ins';
import {
  startGateway, startGatewayFixture, streamHeaders, type GatewayFixture,
} from '../support/gateway-fixture.js';
import { callRaw, type RawAnswer } from '../support/raw-caller.js';
import { repeatUntil, wait } from '../support/timing.js';

const seedCount = Number(process.env.SOAK_SEEDS ?? 2);
const seeds = Array.from({ length: seedCount }, (_, i) => i + 1);
const runMs = 6000;
const callerCount = 10;
const eventCount = 8;
/** With these retries the end of each stream that may be resumed can be settled by another run. */
const ampleRetries = { ratio: 0.4, extra: 10_000, windowMs: 5000 };
const scarceRetries = { ...ampleRetries, extra: 100 };
/** Events of a stream that a living target ends too soon. */
const shortCount = 2;
const textOf = (count: number) => Array.from({ length: count }, (_, i) => eventText(i + 1)).join('');
const allEvents = textOf(eventCount);
const behaviours: TargetBehaviour[] = [
  'answer', 'answer', 'unframed-stream', 'unframed-stream', 'unframed-stream', 'half', 'half-again',
  'not-run', 'unframed-half', 'unframed-restart', 'unframed-empty',
];

interface Seen extends RawAnswer {
  id: string;
  path: string;
}

let fixture: GatewayFixture;
let gateways: Gateway[] = [];

afterEach(async () => {
  await Promise.all(gateways.map((gateway) => gateway.stop(AbortSignal.abort())));
  await fixture.close();
});

/** Only the first engine ends streams too soon in order: two of them would agree on a wrong end. */
function changeBehaviour(random: () => number) {
  const index = Math.floor(random() * fixture.pool.length);
  const choices = index === 0 ? [...behaviours, 'unframed-short' as const] : behaviours;
  fixture.pool[index]!.behaviour = choices[Math.floor(random() * choices.length)]!;
}

/** Starts another entry, then stops the oldest one; callers go on at those that run. */
async function replaceEntry(n: number, options: Partial<GatewayOptions>) {
  gateways.push(await startGateway(fixture.store, `entry-${n}`, options));
  await wait(500);
  await gateways.shift()!.stop();
}

async function callOnce(id: string, random: () => number): Promise<Seen> {
  const path = random() < 0.7 ? '/chat/x' : '/once/x';
  const gateway = gateways[Math.floor(random() * gateways.length)]!;
  const answer = await callRaw(gateway.ports.front, {
    path,
    headers: {
      ...streamHeaders, 'request-id': id, 'request-deadline-ms': '2000', authorization: 'Bearer key-1',
    },
    body: 'prompt',
  });
  return { ...answer, id, path };
}

/** Attempts that the route of resumable streams allows. */
const maxAttempts = 2;

/** Whether all attempts of a stream were used up before its first event, the last one aside. */
const isUsedUp = (id: string) => fixture.pool.flatMap(({ ran }) => ran)
  .filter((run) => run.id === id && run.headers['last-event-id'] === undefined).length >= maxAttempts;

/** Whether an answer claims no more than is true. */
function isTruthful({
  status, id, path, body, framing, isEnded,
}: Seen, areRetriesScarce: boolean): boolean {
  if (status !== 200) return true;
  // Without chunks, a stream whose entry is killed would end like a whole one.
  if (framing !== 'chunked') return false;
  if (!allEvents.startsWith(body)) return false;
  // The end of a stream that no other run may settle is the target's own, and one ends too soon.
  const mayBeSettled = path === '/chat/x' && !areRetriesScarce && !isUsedUp(id);
  const isTargetsEnd = !mayBeSettled && body === textOf(shortCount);
  return !isEnded || body === allEvents || isTargetsEnd;
}

test.each(seeds)('no broken stream reaches its caller as a whole one, seed %i', async (seed) => {
  const random = createRandom(seed);
  const areRetriesScarce = seed % 2 === 0;
  const options = { retries: areRetriesScarce ? scarceRetries : ampleRetries };
  fixture = await startGatewayFixture({
    apps: 1,
    pool: [[0, 8], [0, 8], [0, 8], [0, 4], [4, 8]],
    engine: { events: eventCount },
    gateway: options,
  });
  gateways = [fixture.gateway, await startGateway(fixture.store, 'entry-2', options)];
  const seen: Seen[] = [];
  const endsAt = performance.now() + runMs;
  let entryCount = gateways.length;
  await Promise.all([
    repeatUntil(endsAt, () => 20 + 100 * random(), () => changeBehaviour(random)),
    repeatUntil(endsAt - 3000, () => 500 * random(), () => {
      entryCount += 1;
      return replaceEntry(entryCount, options);
    }),
    ...Array.from({ length: callerCount }, (_, caller) => (
      repeatUntil(endsAt, () => 20 * random(), async () => {
        seen.push(await callOnce(`soak-${caller}-${seen.length}`, random));
      }))),
  ]);
  expect(seen.filter((answer) => !isTruthful(answer, areRetriesScarce))).toEqual([]);
  const whole = seen.filter(({ isEnded, body }) => isEnded && body === allEvents);
  expect(new Set(whole.map(({ path }) => path))).toEqual(new Set(['/chat/x', '/once/x']));
  expect(seen.some(({ status, isEnded }) => status === 200 && !isEnded)).toBe(true);
});
