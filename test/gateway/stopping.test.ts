/** Planned stops under load: no request that was accepted is cut off without an answer. */
import { connect } from 'node:net';
import { afterEach, expect, test } from 'vitest';
import { startGatewayFixture, type GatewayFixture } from '../support/gateway-fixture.js';
import { startSteadyCallers } from '../support/steady-callers.js';

let fixture: GatewayFixture;

afterEach(() => fixture.close());

const wait = (ms: number) => new Promise((resolve) => {
  setTimeout(resolve, ms);
});

test.each([false, true])('20 connections that keep sending get an answer to each request during a stop; the store is unavailable: %s', async (isStoreAway) => {
  fixture = await startGatewayFixture({ apps: 2, pool: [[0, 8]] });
  const { gateway, store } = fixture;
  await expect.poll(() => store.read('verbenashunt', 'lease'), { timeout: 5000 }).toBeTruthy();
  const callers = startSteadyCallers(gateway.ports.front, 20);
  await wait(300);
  const stopped = gateway.stop();
  // The release of the lease then gets no answer, which makes the end of the stop last longer.
  if (isStoreAway) setTimeout(() => Object.assign(store, { fault: 'silent' }), 1500);
  await stopped;
  await callers.ended;
  expect(callers.cut).toEqual([]);
  expect(callers.statuses.get(200)).toBeGreaterThan(20);
  expect([...callers.statuses.keys()].sort()).toEqual([200, 503]);
});

const isListening = (port: number) => new Promise<boolean>((resolve) => {
  const socket = connect(port, '127.0.0.1', () => {
    socket.destroy();
    resolve(true);
  });
  socket.on('error', () => resolve(false));
});

async function untilNotListening(port: number): Promise<void> {
  if (await isListening(port)) await untilNotListening(port);
}

test('a request that arrives on a kept connection when the entry has stopped listening is answered', async () => {
  fixture = await startGatewayFixture({ apps: 2 });
  const { front } = fixture.gateway.ports;
  const kept = connect(front, '127.0.0.1').on('error', () => {});
  let received = '';
  kept.on('data', (text) => {
    received += text.toString('latin1');
  });
  const closed = new Promise((resolve) => {
    kept.on('close', resolve);
  });
  const send = (id: string) => kept.write(`GET /read/a HTTP/1.1\r\nhost: app.example\r\nrequest-id: ${id}\r\nauthorization: Bearer key-1\r\n\r\n`);
  send('first');
  await expect.poll(() => received).toMatch(/^HTTP\/1\.1 200/);
  const stopped = fixture.gateway.stop();
  await wait(2000);
  await untilNotListening(front);
  received = '';
  send('second');
  await Promise.all([closed, stopped]);
  expect(received).toMatch(/^HTTP\/1\.1 503/);
});

/** Connects, and sends a request after a time; resolves to what came back, undefined if refused. */
function sendLate(port: number, delayMs: number): Promise<string | undefined> {
  return new Promise((resolve) => {
    let received = '';
    let isConnected = false;
    const socket = connect(port, '127.0.0.1', () => {
      isConnected = true;
      setTimeout(() => socket.write('GET /read/a HTTP/1.1\r\nhost: app.example\r\nrequest-id: late\r\nrequest-deadline-ms: 300\r\nauthorization: Bearer key-1\r\nconnection: close\r\n\r\n'), delayMs);
    });
    socket.on('error', () => {}).on('close', () => resolve(isConnected ? received : undefined));
    socket.on('data', (text) => {
      received += text.toString('latin1');
    });
  });
}

/** Makes each turn of the event loop take `ms` milliseconds longer until the result is called. */
function slowTurns(ms: number): () => void {
  let isOver = false;
  const block = () => {
    const until = performance.now() + ms;
    while (performance.now() < until);
    if (!isOver) setImmediate(block);
  };
  setImmediate(block);
  return () => {
    isOver = true;
  };
}

test('connections that wait to be accepted at the end of a stop are answered when turns are slow', async () => {
  fixture = await startGatewayFixture({ apps: 2 });
  const stopped = fixture.gateway.stop();
  await wait(2150);
  const stopSlowing = slowTurns(8);
  await wait(30);
  const { front } = fixture.gateway.ports;
  const answers = Promise.all(Array.from({ length: 20 }, () => sendLate(front, 0)));
  await wait(400);
  stopSlowing();
  await stopped;
  const received = (await answers).filter((text) => text !== undefined);
  expect(received.length).toBeGreaterThan(10);
  expect(received.filter((text) => !/^HTTP\/1\.1 (200|503)/.test(text))).toEqual([]);
});

test('a request on a connection that was accepted just before the end of a stop is answered', async () => {
  fixture = await startGatewayFixture({ apps: 2 });
  const { gateway } = fixture;
  const stopped = gateway.stop();
  await wait(2000);
  const answers: Promise<string | undefined>[] = [];
  // Several at a time, as a timer fires less often on a busy machine.
  const connectSome = () => Array.from({ length: 4 }).forEach(() => {
    answers.push(sendLate(gateway.ports.front, 20));
  });
  const timer = setInterval(connectSome, 10);
  await stopped;
  clearInterval(timer);
  const received = (await Promise.all(answers)).filter((text) => text !== undefined);
  expect(received.length).toBeGreaterThan(10);
  expect(received.filter((text) => !/^HTTP\/1\.1 (200|503)/.test(text))).toEqual([]);
});
