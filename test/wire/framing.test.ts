/** Frame decoder: property tests with complete, split, mutated and random input. */
import fc from 'fast-check';
import { expect, test } from 'vitest';
import { errorCode, ProtocolError } from '@verbenashunt/core';
import type { Message } from '@verbenashunt/schema';
import { createFrameDecoder, encodeFrame, maxHelloBytes } from '@verbenashunt/wire';
import { helloOf } from '../support/peers.js';

const seed = 7;
const id = fc.string({ minLength: 1, maxLength: 40 });
const count = fc.nat();
const message: fc.Arbitrary<Message> = fc.oneof(
  fc.record({ t: fc.constant('ping' as const), n: count }),
  fc.record({
    t: fc.constant('token' as const), req: id, attempt: count, seq: count, token: count,
  }),
  fc.record({
    t: fc.constant('step' as const),
    req: id,
    attempt: count,
    pos: count,
    hidden: fc.array(fc.string({ maxLength: 64 }), { minLength: 1, maxLength: 50 }),
  }),
  fc.constant(helloOf()),
);

/** Decodes chunks; returns the messages, the number of bytes left over and the first error. */
function decode(chunks: Buffer[], limit?: () => number) {
  const messages: Message[] = [];
  const decoder = createFrameDecoder(limit);
  try {
    chunks.forEach((chunk) => decoder.push(chunk, (found) => messages.push(found)));
    return { messages, held: decoder.held, err: undefined };
  } catch (err) {
    return { messages, held: decoder.held, err };
  }
}

function splitAt(bytes: Buffer, cuts: number[]): Buffer[] {
  const offsets = cuts.map((cut) => cut % (bytes.length + 1)).sort((a, b) => a - b);
  const bounds = [0, ...offsets, bytes.length];
  return bounds.slice(1).map((end, i) => bytes.subarray(bounds[i], end));
}

const frameOf = (body: Buffer) => {
  const header = Buffer.alloc(4);
  header.writeUInt32BE(body.length);
  return Buffer.concat([header, body]);
};

test('frames are decoded however they are split into chunks', () => {
  fc.assert(fc.property(fc.array(message, { maxLength: 8 }), fc.array(count), (messages, cuts) => {
    const decoded = decode(splitAt(Buffer.concat(messages.map(encodeFrame)), cuts));
    expect(decoded).toEqual({ messages, held: 0, err: undefined });
  }), { seed, numRuns: 500 });
});

test('random bytes emit no message and throw nothing but a ProtocolError', () => {
  fc.assert(fc.property(fc.array(fc.uint8Array({ maxLength: 200 })), (chunks) => {
    const { err, messages } = decode(chunks.map((chunk) => Buffer.from(chunk)));
    expect(err === undefined || err instanceof ProtocolError).toBe(true);
    expect(messages).toEqual([]);
  }), { seed, numRuns: 2000 });
});

test('frames with a correct length and a random body throw a ProtocolError', () => {
  fc.assert(fc.property(fc.uint8Array({ maxLength: 300 }), (body) => {
    const { err, messages } = decode([frameOf(Buffer.from(body))]);
    expect(err).toBeInstanceOf(ProtocolError);
    expect(messages).toEqual([]);
  }), { seed, numRuns: 3000 });
});

test('a frame with one changed byte is a message, an incomplete frame or a ProtocolError', () => {
  fc.assert(fc.property(message, count, count, (original, at, value) => {
    const bytes = encodeFrame(original);
    bytes[at % bytes.length] = value % 256;
    const { err } = decode([bytes]);
    expect(err === undefined || err instanceof ProtocolError).toBe(true);
  }), { seed, numRuns: 5000 });
});

test('a truncated frame emits nothing, and its bytes are buffered', () => {
  fc.assert(fc.property(message, count, (original, cut) => {
    const bytes = encodeFrame(original);
    const part = bytes.subarray(0, cut % bytes.length);
    expect(decode([part])).toEqual({ messages: [], held: part.length, err: undefined });
  }), { seed, numRuns: 500 });
});

test('a frame over the size limit is rejected as soon as its header is read', () => {
  const header = Buffer.alloc(4);
  header.writeUInt32BE(maxHelloBytes + 1);
  const { err } = decode([header], () => maxHelloBytes);
  expect(errorCode(err as Error)).toBe('frame_too_large');
});

test('array lengths declared in CBOR without their elements allocate no memory', () => {
  const arrayHeader = Buffer.from([0x9a, 0x00, 0xf0, 0x00, 0x00]);
  const before = process.memoryUsage().rss;
  const nested = (depth: number) => Buffer.concat(Array.from({ length: depth }, () => arrayHeader));
  const bodies = [1, 5, 5].map(nested);
  bodies.forEach((body) => {
    expect(decode([frameOf(body)], () => maxHelloBytes).err).toBeInstanceOf(ProtocolError);
  });
  expect(process.memoryUsage().rss - before).toBeLessThan(64 * 1024 * 1024);
});
