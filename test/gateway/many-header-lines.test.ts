/** A request with more header lines than Node.js hands over by default loses none of them. */
import {
  afterAll, beforeAll, expect, test, vi,
} from 'vitest';
import { startRawServer, type RawServer } from '../support/raw-server.js';
import { startGatewayFixture, type GatewayFixture } from '../support/gateway-fixture.js';
import { distinctLines, requestHead } from '../support/hostile-requests.js';
import { openRaw } from '../support/raw-connection.js';

const lineCount = 1100;
const lines = distinctLines(lineCount);

let fixture: GatewayFixture;
/** The target, which reads requests without an HTTP parser, as a parser may drop lines too. */
let target: RawServer;

beforeAll(async () => {
  fixture = await startGatewayFixture({ apps: 1 });
  const [app] = fixture.apps;
  target = await startRawServer((socket, request) => {
    if (!request.endsWith('\r\n\r\nhello')) return;
    const id = /request-id: (\S+)/i.exec(request)![1];
    socket.write(`HTTP/1.1 200 OK\r\nrequest-id: ${id}\r\ncontent-length: 2\r\n\r\nok`);
  });
  fixture.store.put('servers', app!.id, { ...app!.row('app'), address: target.address });
  await vi.waitFor(async () => {
    const { body } = await fixture.call({ method: 'POST', path: '/open/warm', body: 'hello' });
    expect(body).toBe('ok');
  }, { timeout: 10_000 });
});

afterAll(async () => {
  await fixture.close();
  target.close();
});

/** Sends a request; resolves to the status of its answer. */
async function statusOf(text: string): Promise<string | undefined> {
  const caller = openRaw(fixture.gateway.ports.front);
  caller.write(text);
  await expect.poll(() => caller.received).toContain('\r\n\r\n');
  caller.socket.destroy();
  return /^HTTP\/1\.1 (\d+)/.exec(caller.received)?.[1];
}

test.each(['content-length: 5\r\n\r\nhello', 'transfer-encoding: chunked\r\n\r\n5\r\nhello\r\n0\r\n\r\n'])('a body announced after them reaches the target: %j', async (rest) => {
  expect(await statusOf(requestHead('/write/a', lines).slice(0, -2) + rest)).toBe('200');
  expect(target.requests.at(-1)).toMatch(/\r\n\r\nhello$/);
});

test('the key after them is seen', async () => {
  const head = ['POST /write/a HTTP/1.1', 'host: app.example', 'request-id: r', ...lines, 'content-length: 5', 'authorization: Bearer key-1'];
  expect(await statusOf(`${head.join('\r\n')}\r\n\r\nhello`)).toBe('200');
});

test('the target gets each of them', async () => {
  expect(await statusOf(`${requestHead('/write/a', [...lines, 'x-last: y', 'content-length: 5'])}hello`)).toBe('200');
  const received = target.requests.at(-1)!.split('\r\n').map((line) => line.replace(': ', ':'));
  expect(lines.filter((line) => !received.includes(line))).toEqual([]);
  expect(received).toContain('x-last:y');
});

test('a head over the limit made of lines that Node.js would not hand over is refused', async () => {
  const most = distinctLines(2500);
  expect(most.join('\r\n').length).toBeGreaterThan(16_384);
  expect(await statusOf(`${requestHead('/write/a', [...most, 'content-length: 5'])}hello`)).toBe('431');
});
