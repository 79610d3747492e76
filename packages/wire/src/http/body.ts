/** Reads request bodies with a limit per body and one on all bodies being read. */
import type { IncomingMessage } from 'node:http';
import { createRefusal } from '@verbenashunt/core';
import { createBodyBuffer } from './body-buffer.js';

/** Whether the headers of a request announce a body. */
export const hasBody = ({ headers }: IncomingMessage) => 'content-length' in headers
  || 'transfer-encoding' in headers;

export interface BodyReaderOptions {
  /** Limit on the memory in bytes of all bodies that are still being read. */
  maxBufferedBytes: number;
}

/**
 * Reads a complete body; rejects if it is larger than `limit` bytes, or not complete within
 * `timeoutMs`, by default that of the server.
 */
export type BodyReader = (
  req: IncomingMessage,
  limit: number,
  timeoutMs?: number,
) => Promise<Buffer>;

/** Creates a reader; all its reads in progress share one buffer limit. */
export function createBodyReader({ maxBufferedBytes }: BodyReaderOptions): BodyReader {
  let totalBuffered = 0;

  return async (req, limit, timeoutMs) => {
    const declared = Number(req.headers['content-length'] ?? 0);
    if (declared > limit) throw createRefusal('body_too_large', { detail: `limit ${limit} bytes` });
    const body = createBodyBuffer(declared);
    let isSettled = false;
    let timer: NodeJS.Timeout | undefined;
    try {
      return await new Promise<Buffer>((resolve, reject) => {
        if (timeoutMs !== undefined) {
          timer = setTimeout(() => reject(createRefusal('request_timeout')), timeoutMs);
        }
        // `close` follows each request; an error with its stack trace is created only if needed.
        const onIncomplete = () => {
          if (!isSettled) reject(createRefusal('bad_request', { detail: 'the body broke off' }));
        };
        req.on('data', (chunk: Buffer) => {
          const heldBefore = body.heldBytes;
          body.add(chunk);
          totalBuffered += body.heldBytes - heldBefore;
          if (body.length > limit) reject(createRefusal('body_too_large', { detail: `limit ${limit} bytes` }));
          else if (totalBuffered > maxBufferedBytes) reject(createRefusal('overloaded', { detail: 'too many bodies at once' }));
        });
        req.on('end', () => resolve(body.toBuffer()));
        req.on('error', onIncomplete);
        req.on('close', onIncomplete);
      });
    } finally {
      isSettled = true;
      clearTimeout(timer);
      totalBuffered -= body.heldBytes;
      req.removeAllListeners('data');
      req.pause();
    }
  };
}

/** Parses a JSON body; throws a refusal if it is not valid JSON. */
export function parseJson(body: Buffer): unknown {
  try {
    return JSON.parse(body.toString('utf8'));
  } catch (err) {
    throw createRefusal('bad_request', { detail: (err as Error).message });
  }
}
