/** Listeners under abuse: the connection ends with a typed error, others go on. */
import { connect, type Socket } from 'node:net';
import {
  afterAll, beforeAll, expect, test, vi,
} from 'vitest';
import type { Hello, Message } from '@verbenashunt/schema';
import { encodeFrame, maxBacklogBytes } from '@verbenashunt/wire';
import { dialPeer, helloOf, startPeer } from '../support/peers.js';

const within = { timeout: 20_000, interval: 10 };
let peer: Awaited<ReturnType<typeof startPeer>>;
let good: ReturnType<typeof dialPeer>;

beforeAll(async () => {
  peer = await startPeer();
  good = dialPeer(peer.port);
  await vi.waitFor(() => expect(good.events).toEqual(['up 1']), within);
});

afterAll(() => {
  good.close();
  peer.close();
});

/** Connects, sends the bytes, and resolves when the listener has closed the connection. */
async function abuse(...chunks: Buffer[]) {
  const socket: Socket = connect(peer.port, '127.0.0.1');
  socket.on('error', () => {});
  socket.resume();
  chunks.forEach((chunk) => socket.write(chunk));
  await new Promise((resolve) => {
    socket.once('close', resolve);
  });
}

async function expectFault(code: string, ...chunks: Buffer[]) {
  const before = peer.errors.filter((error) => error === code).length;
  const heard = peer.heard.filter((t) => t !== 'ping').length;
  await abuse(...chunks);
  await vi.waitFor(() => {
    expect(peer.errors.filter((error) => error === code).length).toBe(before + 1);
  }, within);
  expect(peer.heard.filter((t) => t !== 'ping').length).toBe(heard);
  expect(good.events).toEqual(['up 1']);
}

const hello = (fields: Partial<Hello> = {}) => encodeFrame(helloOf({ node: 'x', ...fields }));
const start: Message = {
  t: 'start', req: 'r', attempt: 0, tokens: [1],
};

test('garbage', () => expectFault('frame_too_large', Buffer.from('GET / HTTP/1.1\r\nhost: a\r\n\r\n')));
test('garbage in a sound frame', () => expectFault('bad_frame', Buffer.from([0, 0, 0, 2, 0xff, 0xff])));
test('no message of the schema', () => expectFault('bad_message', Buffer.from([0, 0, 0, 1, 0xa0])));
test('oversized before the hello', () => expectFault('frame_too_large', Buffer.from([0, 2, 0, 0])));
test('oversized after the hello', () => expectFault('frame_too_large', hello(), Buffer.from([0, 0x80, 0, 1])));
test('wrong version', () => expectFault('wrong_version', hello({ version: 2 })));
test('wrong first frame', () => expectFault('wrong_first_frame', encodeFrame({ t: 'ping', n: 1 })));
test('second hello', () => expectFault('wrong_role', hello(), hello()));
test('work given out by an agent', () => expectFault('wrong_role', hello(), encodeFrame(start)));
test('unknown role', () => expectFault('bad_message', hello({ role: 'operator' as 'entry' })));
test('no hello in time', () => expectFault('hello_timeout', Buffer.from([0, 0])));

test('a reader that stops reading is cut off with a bounded backlog', async () => {
  const socket = connect(peer.port, '127.0.0.1');
  socket.on('error', () => {});
  socket.write(hello({ node: 'slow' }));
  await vi.waitFor(() => expect(peer.open.at(-1)?.peer.node).toBe('slow'), within);
  socket.pause();
  const slow = peer.open.at(-1)!;
  const step: Message = {
    t: 'step', req: 'r', attempt: 0, pos: 0, hidden: Array.from({ length: 16_384 }, () => 'x'.repeat(60)),
  };
  const frameBytes = encodeFrame(step).length;
  let sent = 0;
  while (slow.open && sent < 100 * maxBacklogBytes) {
    slow.send(step);
    sent += frameBytes;
  }
  expect(slow.open).toBe(false);
  expect(sent).toBeLessThanOrEqual(2 * maxBacklogBytes);
  await vi.waitFor(() => expect(peer.errors).toContain('peer_slow'), within);
  expect(good.events).toEqual(['up 1']);
  socket.destroy();
});
