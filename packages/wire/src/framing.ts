/** Length-prefixed CBOR frames: four bytes of length in network order, then one CBOR map. */
import { Encoder } from 'cbor-x';
import { ProtocolError } from '@verbenashunt/core';
import { validators, type Message } from '@verbenashunt/schema';

const headerBytes = 4;

/** Largest body of a frame in bytes. */
export const maxFrameBytes = 8 * 1024 * 1024;

const codec = new Encoder({ useRecords: false, mapsAsObjects: true, tagUint8Array: false });

/** Encodes a message as one frame. */
export function encodeFrame(message: Message): Buffer {
  const body = codec.encode(message);
  if (body.length > maxFrameBytes) {
    throw new ProtocolError(`frame of ${body.length} bytes is larger than ${maxFrameBytes}`);
  }
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
  throw new ProtocolError(`message does not match its schema: ${issue?.instancePath} ${issue?.message}`);
}

export interface FrameDecoder {
  /** Feeds received bytes and returns the messages completed by them; throws ProtocolError. */
  push(chunk: Buffer): Message[];
}

/** Creates a decoder for one connection. It holds at most one unfinished frame. */
export function createFrameDecoder(limit = maxFrameBytes): FrameDecoder {
  let chunks: Buffer[] = [];
  let held = 0;

  function take(): Buffer {
    const all = chunks.length === 1 ? chunks[0]! : Buffer.concat(chunks, held);
    chunks = [];
    held = 0;
    return all;
  }

  function lengthOf(buffer: Buffer, at: number): number {
    const length = buffer.readUInt32BE(at);
    if (length > limit) throw new ProtocolError(`frame of ${length} bytes is larger than ${limit}`);
    return length;
  }

  let needed = headerBytes;
  return {
    push(chunk) {
      chunks.push(chunk);
      held += chunk.length;
      if (held < needed) return [];
      const buffer = take();
      const messages: Message[] = [];
      let at = 0;
      needed = headerBytes;
      while (buffer.length - at >= headerBytes) {
        const length = lengthOf(buffer, at);
        if (buffer.length - at < headerBytes + length) {
          needed = headerBytes + length;
          break;
        }
        messages.push(decodeBody(buffer.subarray(at + headerBytes, at + headerBytes + length)));
        at += headerBytes + length;
      }
      if (at < buffer.length) {
        chunks = [buffer.subarray(at)];
        held = buffer.length - at;
      }
      return messages;
    },
  };
}
