/** Bodies of callers' requests, bounded each and in sum. */
import type { IncomingMessage } from 'node:http';
import { createRefusal } from '@verbenashunt/core';

/** Whether a request says that it has a body. */
export const hasBody = ({ headers }: IncomingMessage) => 'content-length' in headers
  || 'transfer-encoding' in headers;

export interface BodyBounds {
  /** Bytes of all bodies that are held while they arrive. */
  maxBufferedBytes: number;
}

/** Reads a whole body; refuses one larger than `limit` bytes. */
export type BodyReader = (req: IncomingMessage, limit: number) => Promise<Buffer>;

/** Creates a reader whose bodies in progress share one bound. */
export function createBodyReader({ maxBufferedBytes }: BodyBounds): BodyReader {
  let buffered = 0;

  return async (req, limit) => {
    const declared = Number(req.headers['content-length'] ?? 0);
    if (declared > limit) throw createRefusal('body_too_large', { detail: `limit ${limit} bytes` });
    const chunks: Buffer[] = [];
    let size = 0;
    try {
      return await new Promise<Buffer>((resolve, reject) => {
        const broken = () => reject(createRefusal('bad_request', { detail: 'the body broke off' }));
        req.on('data', (chunk: Buffer) => {
          size += chunk.length;
          buffered += chunk.length;
          chunks.push(chunk);
          if (size > limit) reject(createRefusal('body_too_large', { detail: `limit ${limit} bytes` }));
          else if (buffered > maxBufferedBytes) reject(createRefusal('overloaded', { detail: 'too many bodies at once' }));
        });
        req.on('end', () => resolve(Buffer.concat(chunks)));
        req.on('error', broken);
        req.on('close', broken);
      });
    } finally {
      buffered -= size;
      req.removeAllListeners('data');
      req.pause();
    }
  };
}

/** Parses a JSON body; refuses what is not JSON. */
export function parseJson(body: Buffer): unknown {
  try {
    return JSON.parse(body.toString('utf8'));
  } catch (err) {
    throw createRefusal('bad_request', { detail: (err as Error).message });
  }
}
