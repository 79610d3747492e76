/** Length-prefixed CBOR frames: four bytes of length in network order, then one CBOR map. */
import { Encoder } from 'cbor-x';
import { ProtocolError } from '@verbenashunt/core';
import { validators, type Message } from '@verbenashunt/schema';

const headerBytes = 4;

/** Largest body of a frame in bytes. */
export const maxFrameBytes = 8 * 1024 * 1024;

/** Largest body of a frame before the peer has said who it is, in bytes. */
export const maxHelloBytes = 64 * 1024;

const codec = new Encoder({ useRecords: false, mapsAsObjects: true, tagUint8Array: false });

const tooLarge = (bytes: number, limit: number) => new ProtocolError(
  `frame of ${bytes} bytes is larger than ${limit}`,
  { props: { code: 'frame_too_large' } },
);

/** Encodes a message as one frame. */
export function encodeFrame(message: Message): Buffer {
  const body = codec.encode(message);
  if (body.length > maxFrameBytes) throw tooLarge(body.length, maxFrameBytes);
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
    throw new ProtocolError('frame is not CBOR', { cause: err });
  }
  if (validators.message(value)) return value;
  const issue = validators.message.errors?.[0];
  throw new ProtocolError(
    `message does not match its schema: ${issue?.instancePath} ${issue?.message}`,
    { props: { code: 'bad_message' } },
  );
}

export interface FrameDecoder {
  /** Bytes kept of an unfinished frame. */
  readonly held: number;
  /**
   * Feeds received bytes and emits each message completed by them; `limit()` is asked before each
   * frame. Throws ProtocolError, after which the decoder is not to be used.
   */
  push(chunk: Buffer, emit: (message: Message) => void): void;
}

/** Creates a decoder for one connection. It holds at most one unfinished frame. */
export function createFrameDecoder(limit: () => number = () => maxFrameBytes): FrameDecoder {
  const header = Buffer.alloc(headerBytes);
  let headerHeld = 0;
  let body: Buffer | undefined;
  let bodyHeld = 0;

  function lengthOf(buffer: Buffer, at: number): number {
    const length = buffer.readUInt32BE(at);
    if (length > limit()) throw tooLarge(length, limit());
    return length;
  }

  /** Takes bytes of the frame begun by an earlier chunk; returns how many. */
  function fill(chunk: Buffer, at: number): number {
    if (body) {
      const taken = chunk.copy(body, bodyHeld, at);
      bodyHeld += taken;
      return taken;
    }
    const taken = chunk.copy(header, headerHeld, at);
    headerHeld += taken;
    if (headerHeld === headerBytes) body = Buffer.allocUnsafe(lengthOf(header, 0));
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
        const rest = chunk.length - at;
        const fresh = headerHeld === 0 && rest >= headerBytes;
        const length = fresh ? lengthOf(chunk, at) : 0;
        if (fresh && rest >= headerBytes + length) {
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
