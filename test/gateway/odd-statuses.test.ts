/** A status that is none of HTTP's is a failure of its target, never passed on as an answer. */
import { afterEach, expect, test } from 'vitest';
import { operatorConfig } from '@verbenashunt/platform/stand-in';
import { startGatewayFixture, type GatewayFixture } from '../support/gateway-fixture.js';
import { startRawServer, type RawServer } from '../support/raw-server.js';

let fixture: GatewayFixture;
let odd: RawServer;

afterEach(async () => {
  await fixture.close();
  odd.close();
});

const oddStatuses = ['000', '099', '600', '999'];

interface OddTarget {
  /** Number of sound targets beside it. */
  apps: number;
  /** Whether an answer with status 200 follows the odd one. */
  isFollowed?: boolean;
}

/** Starts a gateway before a target that answers with a status. */
async function start(status: string, { apps, isFollowed = false }: OddTarget) {
  const routes = operatorConfig(1).routes
    .map((route) => ({ ...route, targetLatencyMs: 10_000, targetGapMs: 10_000 }));
  fixture = await startGatewayFixture({ apps: 1, pool: [[0, 8]], config: { routes } });
  const [app] = fixture.apps;
  odd = await startRawServer((socket, request) => {
    const id = /request-id: (\S+)/i.exec(request)?.[1] ?? '';
    const rest = `Odd\r\nrequest-id: ${id}\r\nserver-stamp: s\r\n`;
    if (isFollowed) socket.write(`HTTP/1.1 ${status} ${rest}\r\nHTTP/1.1 200 ${rest}content-length: 2\r\n\r\nok`);
    else socket.write(`HTTP/1.1 ${status} ${rest}content-length: 2\r\n\r\nok`);
  });
  fixture.store.put('servers', 'odd', { ...app!.row('app'), address: odd.address });
  if (apps === 0) fixture.store.remove('servers', app!.id);
  await new Promise((resolve) => {
    setTimeout(resolve, 400);
  });
}

test.each(oddStatuses)('a call gets no answer with the status %s of its only target', async (status) => {
  await start(status, { apps: 0 });
  const answer = await fixture.call({ method: 'POST', path: '/write/a', body: 'pay' });
  expect([502, 504]).toContain(answer.status);
  expect(answer.body).not.toBe('ok');
});

test.each(oddStatuses)('calls that may be repeated are answered by another target than the one that sends %s', async (status) => {
  await start(status, { apps: 1 });
  const answers = await Promise.all(Array.from({ length: 8 }, () => fixture.call()));
  expect(answers.map(({ status: got }) => got)).toEqual(Array(8).fill(200));
  expect(answers.map(({ body }) => body)).not.toContain('ok');
});

test('an answer after the status 000 is not taken for that of the request', async () => {
  await start('000', { apps: 0, isFollowed: true });
  const answer = await fixture.call({ method: 'POST', path: '/write/a', body: 'pay' });
  expect([502, 504]).toContain(answer.status);
});
