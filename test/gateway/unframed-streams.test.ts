/** Streams without a length or chunks, which end with their connection whether whole or not. */
import { afterEach, expect, test } from 'vitest';
import { eventText, operatorConfig, type TargetBehaviour } from '@verbenashunt/platform/stand-in';
import {
  startGatewayFixture, streamHeaders, type GatewayFixture, type GatewayFixtureOptions,
} from '../support/gateway-fixture.js';
import { callRaw, type RawAnswer, type RawCall } from '../support/raw-caller.js';

let fixture: GatewayFixture;

afterEach(() => fixture.close());

const eventCount = 6;
const textOf = (count: number) => Array.from({ length: count }, (_, i) => eventText(i + 1)).join('');
const allEvents = textOf(eventCount);
const twoChains: [number, number][] = [[0, 8], [0, 8]];
const resumable = '/chat/x';
const once = '/once/x';

/** Starts a gateway whose engines all behave in one way. */
async function start(
  behaviour: TargetBehaviour,
  pool = twoChains,
  options: GatewayFixtureOptions = {},
) {
  fixture = await startGatewayFixture({
    apps: 1, pool, engine: { events: eventCount }, ...options,
  });
  fixture.pool.forEach((engine) => Object.assign(engine, { behaviour }));
  return fixture;
}

let sequence = 0;

function callStream(path: string, httpVersion: RawCall['httpVersion'] = '1.1'): Promise<RawAnswer> {
  sequence += 1;
  return callRaw(fixture.gateway.ports.front, {
    path,
    httpVersion,
    headers: {
      ...streamHeaders, 'request-id': `stream-${sequence}`, 'request-deadline-ms': '3000', authorization: 'Bearer key-1',
    },
    body: 'prompt',
  });
}

const runs = () => fixture.pool.flatMap(({ ran }) => ran);

test.each([
  'unframed-short', 'unframed-identity', 'unframed-restart', 'unframed-stream',
] as const)('a resumable unframed stream reaches its caller whole and marked as whole: %s', async (behaviour) => {
  await start(behaviour);
  expect(await callStream(resumable)).toEqual({
    status: 200, framing: 'chunked', body: allEvents, isEnded: true,
  });
  expect(runs()).toHaveLength(2);
});

test('resumable streams are whole although a target ends its streams unframed without any event', async () => {
  await start('answer');
  const [faulty] = fixture.pool;
  faulty!.behaviour = 'unframed-empty';
  const answers = await Promise.all(Array.from({ length: 8 }, () => callStream(resumable)));
  expect(answers.map(({ body }) => body)).toEqual(Array(8).fill(allEvents));
  expect(faulty!.ran.length).toBeGreaterThan(0);
});

test('an unframed stream that a restarted target had broken off is resumed on the only chain', async () => {
  await start('unframed-restart', [[0, 8]]);
  expect(await callStream(resumable)).toMatchObject({ body: allEvents, isEnded: true });
  expect(runs().map(({ headers }) => headers['last-event-id'])).toEqual([undefined, '1']);
});

test('a stream that broke off and went on unframed at another target is not marked as whole', async () => {
  await start('unframed-short-again');
  const answer = await callStream(resumable);
  expect(answer).toMatchObject({ framing: 'chunked', body: textOf(2), isEnded: false });
});

test.each([
  ['unframed-short', 2], ['unframed-stream', eventCount],
] as const)('an unframed stream that may not be resumed ends for its caller where its target ended it: %s', async (behaviour, count) => {
  await start(behaviour);
  expect(await callStream(once)).toEqual({
    status: 200, framing: 'chunked', body: textOf(count), isEnded: true,
  });
  expect(runs()).toHaveLength(1);
});

// Guards against taking the end for a whole stream that a target ends as a stage is out of reach.
test('an unframed stream that may not be resumed is cut off when its end comes after a silence', async () => {
  await start('unframed-late');
  expect(await callStream(once)).toEqual({
    status: 200, framing: 'chunked', body: textOf(2), isEnded: false,
  });
  expect(runs()).toHaveLength(1);
});

test.each([
  'unframed-restart', 'unframed-crash', 'unframed-half',
] as const)('an unframed stream that may not be resumed is cut off when it has been broken off: %s', async (behaviour) => {
  await start(behaviour);
  expect(await callStream(once)).toEqual({
    status: 200, framing: 'chunked', body: textOf(1), isEnded: false,
  });
  expect(runs()).toHaveLength(1);
});

test('an unframed stream that may not be resumed is cut off when a later stage was lost', async () => {
  await start('unframed-short', [[0, 4], [4, 8]]);
  await fixture.pool[1]!.close();
  expect(await callStream(once)).toMatchObject({ framing: 'chunked', isEnded: false });
});

test('an unframed stream without any event is no answer', async () => {
  await start('unframed-empty');
  const answer = await callStream(once);
  expect(answer.status).toBe(502);
  expect(JSON.parse(answer.body).error).toMatchObject({ ran: 'unknown' });
  expect(runs()).toHaveLength(1);
});

test.each([0, 10])('no whole unframed stream of a busy service is cut for want of retries, with %i extra ones', async (extra) => {
  const retries = { ratio: 0.2, extra, windowMs: 10_000 };
  // Wide latency bounds, as events are late on a busy machine and admission would refuse streams.
  const routes = operatorConfig(1).routes
    .map((route) => ({ ...route, targetLatencyMs: 10_000, targetGapMs: 10_000 }));
  await start('unframed-stream', twoChains, { gateway: { retries }, config: { routes } });
  const answers = await Promise.all(Array.from({ length: 60 }, () => callStream(resumable)));
  expect(answers.map(({ body }) => body)).toEqual(Array(60).fill(allEvents));
  expect(answers.filter(({ isEnded }) => !isEnded)).toHaveLength(0);
  expect(answers.filter(({ framing }) => framing !== 'chunked')).toHaveLength(0);
  expect(runs().length - 60).toBeLessThanOrEqual(retries.extra + retries.ratio * 60);
});

test.each([
  ['answer', allEvents, true], ['half-again', textOf(2), false],
] as const)('a caller that knows no chunks gets a stream without them, reset if it is cut: %s', async (behaviour, body, isEnded) => {
  await start(behaviour);
  expect(await callStream(once, '1.0')).toEqual({
    status: 200, framing: 'connection', body, isEnded,
  });
});
