/** Callers that are late or seem so after a standstill: what is refused as not run never runs. */
import { afterEach, expect, test } from 'vitest';
import { operatorConfig } from '@verbenashunt/platform/stand-in';
import { startGatewayFixture, type GatewayFixture } from '../support/gateway-fixture.js';
import { openRaw } from '../support/raw-connection.js';
import { blockLoop, wait } from '../support/timing.js';

const headerTimeoutMs = 400;
const limits = { ...operatorConfig(1).limits, headerTimeoutMs };
/** Time until the listener has checked for late requests. */
const judgedMs = headerTimeoutMs + 1000;

let fixture: GatewayFixture;

afterEach(() => fixture.close());

async function start(idleTimeoutMs = limits.idleTimeoutMs) {
  const config = { limits: { ...limits, idleTimeoutMs } };
  fixture = await startGatewayFixture({ apps: 1, config });
  return openRaw(fixture.gateway.ports.front);
}

const ranIds = () => fixture.apps[0]!.ran.map(({ id }) => id);

const requestText = (id: string, body = '', path = '/write/a') => `POST ${path} HTTP/1.1\r\nhost: app.example\r\nrequest-id: ${id}\r\nrequest-deadline-ms: 3000\r\nauthorization: Bearer key-1\r\ncontent-length: ${body.length}\r\n\r\n${body}`;

const halves = (text: string) => {
  const middle = text.indexOf('request-deadline-ms');
  return [text.slice(0, middle), text.slice(middle)] as const;
};

// Guards against a 408, which promises that the request has not run, followed by its run.
test('a request whose headers end after their timeout is refused and never runs', async () => {
  const caller = await start();
  const [first, rest] = halves(requestText('late'));
  caller.write(first);
  await expect.poll(() => caller.received, { timeout: judgedMs }).toMatch(/^HTTP\/1\.1 408 /);
  caller.write(rest);
  caller.write(requestText('next'));
  await wait(300);
  expect(ranIds()).toEqual([]);
});

// Guards against taking a caller for late whose request arrived while the process stood still.
test.each([
  ['in one piece', (rest: string) => [rest]],
  ['in many pieces', (rest: string) => [...rest]],
] as const)('a request that arrived during a standstill runs and is answered, its rest %s', async (_, split) => {
  const caller = await start();
  const [first, rest] = halves(requestText('frozen'));
  caller.write(first);
  await wait(50);
  split(rest).forEach(caller.write);
  blockLoop(judgedMs);
  await expect.poll(() => caller.received, { timeout: 2000 }).toMatch(/^HTTP\/1\.1 200 /);
  expect(ranIds()).toEqual(['frozen']);
});

// Guards against a request whose time for the body no longer ends, as its headers were spared.
test('a request whose headers arrived during a standstill and whose body never comes is refused', async () => {
  const caller = await start();
  const [first, rest] = halves(requestText('bodyless', 'body').replace('deadline-ms: 3000', 'deadline-ms: 300'));
  caller.write(first);
  await wait(50);
  caller.write(rest.slice(0, -1));
  blockLoop(judgedMs);
  await expect.poll(() => caller.received, { timeout: 2000 }).toMatch(/^HTTP\/1\.1 408 /);
  caller.write('y');
  await wait(100);
  expect(ranIds()).toEqual([]);
});

// Guards against closing an idle connection on which a request has already arrived.
test('a request that arrived on a kept connection during a standstill is answered', async () => {
  const idleTimeoutMs = 300;
  const caller = await start(idleTimeoutMs);
  caller.write(requestText('first'));
  await expect.poll(() => caller.received).toContain('answer of app-0');
  caller.write(requestText('second'));
  blockLoop(idleTimeoutMs + 2000);
  await expect.poll(() => caller.received.match(/HTTP\/1\.1 200 /g), { timeout: 2000 }).toHaveLength(2);
  expect(ranIds()).toEqual(['first', 'second']);
});

// Guards against a run whose answer can't be sent, as an earlier answer closes the connection.
test('a request that follows one refused with its body unread does not run', async () => {
  const caller = await start();
  caller.write(requestText('large', 'x'.repeat(limits.maxBodyBytes + 1)) + requestText('next'));
  await expect.poll(() => caller.isEnded, { timeout: 3000 }).toBe(true);
  expect(caller.received).toMatch(/^HTTP\/1\.1 413 /);
  await wait(100);
  expect(ranIds()).toEqual([]);
});

// Guards against a connection that is kept for ever without any further request.
test('a kept connection that sends an empty line now and then is closed', async () => {
  const caller = await start();
  caller.write(requestText('first'));
  await expect.poll(() => caller.received).toMatch(/^HTTP\/1\.1 200 /);
  await expect.poll(() => {
    if (!caller.isEnded) caller.write('\r\n');
    return caller.isEnded;
  }, { timeout: 10_000, interval: 100 }).toBe(true);
  caller.write(requestText('next'));
  await wait(100);
  expect(ranIds()).toEqual(['first']);
});

// Guards against cutting off a request that a target is running, for what its caller sent after it.
test.each([
  ['bytes that are no request', 'no request\r\n\r\n'],
  ['a request whose headers never end', halves(requestText('late'))[0]],
  ['a whole request and bytes that are none', `${requestText('second')}no request\r\n\r\n`],
])('a request that runs is answered when it is followed by %s', async (_, text) => {
  const caller = await start();
  fixture.apps[0]!.answerMs = judgedMs;
  caller.write(requestText('first') + text);
  await expect.poll(() => caller.isEnded, { timeout: 3 * judgedMs }).toBe(true);
  const answers = caller.received.match(/HTTP\/1\.1 \d+ /g);
  expect(answers).toEqual(ranIds().map(() => 'HTTP/1.1 200 '));
  expect(ranIds()[0]).toBe('first');
});

// Guards against work for a caller that has left, once its connection is no longer parsed.
test('a request followed by bytes that are none is cancelled when its caller leaves', async () => {
  const caller = await start();
  fixture.apps[0]!.behaviour = 'silent';
  caller.write(`${requestText('first')}no request\r\n\r\n`);
  await expect.poll(ranIds).toEqual(['first']);
  caller.socket.destroy();
  await expect.poll(() => fixture.apps[0]!.ran[0]!.isAborted, { timeout: 500 }).toBe(true);
});
