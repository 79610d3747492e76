/** Length-prefixed CBOR frames: a four-byte big-endian length, then a body of one CBOR map. */
import { Encoder } from 'cbor-x';
import { ProtocolError } from '@verbenashunt/core';
import { validators, type Message } from '@verbenashunt/schema';

const headerBytes = 4;

/** Maximum size of a frame body in bytes. */
export const maxFrameBytes = 8 * 1024 * 1024;

/** Maximum size of a frame body before the peer has sent its hello, in bytes. */
export const maxHelloBytes = 64 * 1024;

const codec = new Encoder({ useRecords: false, mapsAsObjects: true, tagUint8Array: false });

const frameTooLarge = (bytes: number, limit: number) => new ProtocolError(
  `frame of ${bytes} bytes exceeds the limit of ${limit}`,
  { props: { code: 'frame_too_large' } },
);

/** Encodes a message as one frame. */
export function encodeFrame(message: Message): Buffer {
  const body = codec.encode(message);
  if (body.length > maxFrameBytes) throw frameTooLarge(body.length, maxFrameBytes);
  const frame = Buffer.allocUnsafe(headerBytes + body.length);
  frame.writeUInt32BE(body.length, 0);
  body.copy(frame, headerBytes);
  return frame;
}

function decodeBody(body: Buffer): Message {
  let value: unknown;
  try {
    value = codec.decode(body);
  } catch (err) {
    throw new ProtocolError('frame is not valid CBOR', { cause: err });
  }
  if (validators.message(value)) return value;
  const issue = validators.message.errors?.[0];
  throw new ProtocolError(
    `message does not match its schema: ${issue?.instancePath} ${issue?.message}`,
    { props: { code: 'bad_message' } },
  );
}

export interface FrameDecoder {
  /** Bytes buffered of an incomplete frame. */
  readonly held: number;
  /**
   * Takes received bytes and emits each message that they complete; `limit()` is evaluated for
   * each frame. After it has thrown a ProtocolError, the decoder must not be used any more.
   */
  push(chunk: Buffer, emit: (message: Message) => void): void;
}

/** Creates a decoder for one connection; it buffers at most one incomplete frame. */
export function createFrameDecoder(limit: () => number = () => maxFrameBytes): FrameDecoder {
  const header = Buffer.alloc(headerBytes);
  let headerHeld = 0;
  let body: Buffer | undefined;
  let bodyHeld = 0;

  function readLength(buffer: Buffer, at: number): number {
    const length = buffer.readUInt32BE(at);
    if (length > limit()) throw frameTooLarge(length, limit());
    return length;
  }

  /** Adds bytes of a chunk to the incomplete frame; returns how many were used. */
  function fill(chunk: Buffer, at: number): number {
    if (body) {
      const taken = chunk.copy(body, bodyHeld, at);
      bodyHeld += taken;
      return taken;
    }
    const taken = chunk.copy(header, headerHeld, at);
    headerHeld += taken;
    if (headerHeld === headerBytes) body = Buffer.allocUnsafe(readLength(header, 0));
    return taken;
  }

  function finish(emit: (message: Message) => void) {
    if (!body || bodyHeld < body.length) return;
    const whole = body;
    body = undefined;
    bodyHeld = 0;
    headerHeld = 0;
    emit(decodeBody(whole));
  }

  return {
    get held() {
      return headerHeld + bodyHeld;
    },
    push(chunk, emit) {
      let at = 0;
      while (at < chunk.length) {
        const remaining = chunk.length - at;
        const atFrameStart = headerHeld === 0 && remaining >= headerBytes;
        const length = atFrameStart ? readLength(chunk, at) : 0;
        if (atFrameStart && remaining >= headerBytes + length) {
          const start = at + headerBytes;
          at = start + length;
          emit(decodeBody(chunk.subarray(start, at)));
        } else {
          at += fill(chunk, at);
          finish(emit);
        }
      }
    },
  };
}
