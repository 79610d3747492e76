/** Slow but healthy streams are served to their end, and stalled ones end. */
import { createServer, type ServerResponse } from 'node:http';
import { connect, type AddressInfo } from 'node:net';
import { afterEach, expect, test } from 'vitest';
import { eventText } from '@verbenashunt/platform/stand-in';
import { startGatewayFixture, type GatewayFixture } from '../support/gateway-fixture.js';
import { wait } from '../support/timing.js';

const cleanups: (() => unknown)[] = [];

afterEach(async () => {
  await Promise.all(cleanups.splice(0).reverse().map((cleanup) => cleanup()));
});

async function start(): Promise<GatewayFixture> {
  const fixture = await startGatewayFixture({ apps: 1, pool: [[0, 8]] });
  cleanups.push(fixture.close);
  return fixture;
}

interface SlowEngine {
  /** Sends the body of a stream after its head. */
  stream(res: ServerResponse): void;
  /** Answers a request for a report. */
  report(res: ServerResponse): void;
}

/** Replaces the engine of a fixture by one that answers as given. */
async function replaceEngine({ store, pool }: GatewayFixture, engine: SlowEngine) {
  const server = createServer((req, res) => {
    req.resume();
    if (req.url === '/api/report') engine.report(res);
    else {
      res.writeHead(200, { 'request-id': String(req.headers['request-id']), 'content-type': 'text/event-stream' });
      engine.stream(res);
    }
  });
  await new Promise<void>((resolve) => {
    server.listen(0, '127.0.0.1', resolve);
  });
  cleanups.push(() => {
    server.close();
    server.closeAllConnections();
  });
  const { port } = server.address() as AddressInfo;
  store.put('servers', 'slow', { ...pool[0]!.row('pool'), address: `127.0.0.1:${port}` });
  store.remove('servers', pool[0]!.id);
  await wait(300);
}

/** Sends events at an interval, then ends the stream. */
function sendEvents(res: ServerResponse, count: number, intervalMs: number, id = 1) {
  if (id > count) {
    res.end();
    return;
  }
  res.write(eventText(id));
  setTimeout(() => sendEvents(res, count, intervalMs, id + 1), intervalMs);
}

const count = 8;
const allEvents = Array.from({ length: count }, (_, i) => eventText(i + 1)).join('');
const goodReport = JSON.stringify({
  busy: false, sequence: 0, layers: { from: 0, to: 8, version: 1 }, routeType: 'card', kvUsed: 0, kvTotal: 1,
});

/** Longer than two reports that time out. */
const longPauseMs = 1200;

test.each(['/chat/x', '/once/x'])('a stream of %s with long pauses is complete when its target gives no reports', async (path) => {
  const fixture = await start();
  await replaceEngine(fixture, {
    stream: (res) => sendEvents(res, 3, longPauseMs), report() {},
  });
  const answer = await fixture.stream({ path, headers: { 'request-deadline-ms': '8000' } });
  expect(answer.isComplete).toBe(true);
  expect(answer.body).toBe([1, 2, 3].map(eventText).join(''));
});

const reports: Record<string, (res: ServerResponse) => void> = {
  'reports in time': (res) => res.end(goodReport),
  'reports late': (res) => {
    setTimeout(() => res.end(goodReport), 800);
  },
  'reports what is not valid': (res) => res.end('{}'),
  'refuses reports': (res) => res.writeHead(503).end(),
};

test.each(Object.entries(reports).flatMap(([name, report]) => ['/chat/x', '/once/x']
  .map((path) => [path, name, report] as const)))('a stream of %s slower than its objectives is whole when its target %s', async (path, _, report) => {
  const fixture = await start();
  await replaceEngine(fixture, { stream: (res) => sendEvents(res, count, 300), report });
  const answer = await fixture.stream({ path, headers: { 'request-deadline-ms': '8000' } });
  expect(answer).toMatchObject({ status: 200, body: allEvents, isComplete: true });
});

test.each([
  ['bytes that make no whole event', ': '],
  ['comments', ': alive\n\n'],
])('a stream whose target sends nothing but %s ends by its deadline', async (_, drip) => {
  const fixture = await start();
  await replaceEngine(fixture, {
    stream(res) {
      res.write(eventText(1));
      const timer = setInterval(() => res.write(drip), 20);
      res.on('close', () => clearInterval(timer));
    },
    report: reports['reports in time']!,
  });
  const startedAt = performance.now();
  const answer = await fixture.stream({ headers: { 'request-deadline-ms': '1500' } });
  expect(performance.now() - startedAt).toBeLessThan(2500);
  expect(answer.isComplete).toBe(false);
});

test('a body that arrives byte by byte ends by the deadline of its request, refused as not run', async () => {
  const { gateway, apps } = await start();
  const startedAt = performance.now();
  const received = await new Promise<string>((resolve) => {
    let text = '';
    const socket = connect(gateway.ports.front, '127.0.0.1');
    const timer = setInterval(() => socket.write('x'), 50);
    socket.on('data', (part) => {
      text += part.toString('latin1');
    });
    socket.on('error', () => {}).on('close', () => {
      clearInterval(timer);
      resolve(text);
    });
    socket.write('POST /write/a HTTP/1.1\r\nhost: app.example\r\nrequest-id: slow\r\nrequest-deadline-ms: 500\r\nauthorization: Bearer key-1\r\ncontent-length: 1000\r\n\r\n');
    setTimeout(() => socket.destroy(), 4000);
  });
  expect(received).toMatch(/"ran":"no"/);
  expect(performance.now() - startedAt).toBeLessThan(1500);
  expect(apps[0]!.ran).toEqual([]);
});
