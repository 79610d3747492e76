/** Invalid input to a peer listener closes that connection with an error code, and no other. */
import { connect, type Socket } from 'node:net';
import {
  afterAll, beforeAll, expect, test, vi,
} from 'vitest';
import type { Hello, Message } from '@verbenashunt/schema';
import { encodeFrame, maxBacklogBytes } from '@verbenashunt/wire';
import { dialPeer, helloOf, startPeer } from '../support/peers.js';

const waitOptions = { timeout: 20_000, interval: 10 };
let peer: Awaited<ReturnType<typeof startPeer>>;
let healthyLink: ReturnType<typeof dialPeer>;

beforeAll(async () => {
  peer = await startPeer();
  healthyLink = dialPeer(peer.port);
  await vi.waitFor(() => expect(healthyLink.events).toEqual(['up 1']), waitOptions);
});

afterAll(() => {
  healthyLink.close();
  peer.close();
});

/** Connects, sends the chunks and resolves once the listener has closed the connection. */
async function sendAndAwaitClose(...chunks: Buffer[]) {
  const socket: Socket = connect(peer.port, '127.0.0.1');
  socket.on('error', () => {});
  socket.resume();
  chunks.forEach((chunk) => socket.write(chunk));
  await new Promise((resolve) => {
    socket.once('close', resolve);
  });
}

/** Expects one error with this code, no message from the chunks, and no effect on another link. */
async function expectClosedWith(code: string, ...chunks: Buffer[]) {
  const errorsBefore = peer.errors.filter((error) => error === code).length;
  const messagesBefore = peer.receivedTypes.filter((t) => t !== 'ping').length;
  await sendAndAwaitClose(...chunks);
  await vi.waitFor(() => {
    expect(peer.errors.filter((error) => error === code).length).toBe(errorsBefore + 1);
  }, waitOptions);
  expect(peer.receivedTypes.filter((t) => t !== 'ping').length).toBe(messagesBefore);
  expect(healthyLink.events).toEqual(['up 1']);
}

const hello = (fields: Partial<Hello> = {}) => encodeFrame(helloOf({ node: 'x', ...fields }));
const start: Message = {
  t: 'start', req: 'r', attempt: 0, tokens: [1],
};

test('bytes of another protocol', () => expectClosedWith('frame_too_large', Buffer.from('GET / HTTP/1.1\r\nhost: a\r\n\r\n')));
test('a frame whose body is not CBOR', () => expectClosedWith('bad_frame', Buffer.from([0, 0, 0, 2, 0xff, 0xff])));
test('a frame whose body does not match the message schema', () => expectClosedWith('bad_message', Buffer.from([0, 0, 0, 1, 0xa0])));
test('a frame over the size limit before the hello', () => expectClosedWith('frame_too_large', Buffer.from([0, 2, 0, 0])));
test('a frame over the size limit after the hello', () => expectClosedWith('frame_too_large', hello(), Buffer.from([0, 0x80, 0, 1])));
test('a hello with another protocol version', () => expectClosedWith('wrong_version', hello({ version: 2 })));
test('a first message that is not a hello', () => expectClosedWith('wrong_first_frame', encodeFrame({ t: 'ping', n: 1 })));
test('a second hello', () => expectClosedWith('wrong_role', hello(), hello()));
test('a message from an agent that only an entry may send', () => expectClosedWith('wrong_role', hello(), encodeFrame(start)));
test('a hello with an unknown role', () => expectClosedWith('bad_message', hello({ role: 'operator' as 'entry' })));
test('no hello in time', () => expectClosedWith('hello_timeout', Buffer.from([0, 0])));

test('a peer that stops reading is disconnected once its backlog exceeds the limit', async () => {
  const socket = connect(peer.port, '127.0.0.1');
  socket.on('error', () => {});
  socket.write(hello({ node: 'slow' }));
  await vi.waitFor(() => expect(peer.connections.at(-1)?.peer.node).toBe('slow'), waitOptions);
  socket.pause();
  const slowConnection = peer.connections.at(-1)!;
  const step: Message = {
    t: 'step', req: 'r', attempt: 0, pos: 0, hidden: Array.from({ length: 16_384 }, () => 'x'.repeat(60)),
  };
  const frameBytes = encodeFrame(step).length;
  let sent = 0;
  while (slowConnection.open && sent < 100 * maxBacklogBytes) {
    slowConnection.send(step);
    sent += frameBytes;
  }
  expect(slowConnection.open).toBe(false);
  expect(sent).toBeLessThanOrEqual(2 * maxBacklogBytes);
  await vi.waitFor(() => expect(peer.errors).toContain('peer_slow'), waitOptions);
  expect(healthyLink.events).toEqual(['up 1']);
  socket.destroy();
});
