/** Bodies of callers' requests, bounded in size. */
import type { IncomingMessage } from 'node:http';
import { createRefusal } from '@verbenashunt/core';

/** Reads a whole body; refuses one larger than `limit` bytes. */
export async function readBody(req: IncomingMessage, limit: number): Promise<Buffer> {
  const declared = Number(req.headers['content-length'] ?? 0);
  if (declared > limit) throw createRefusal('body_too_large', { detail: `limit ${limit} bytes` });
  return new Promise((resolve, reject) => {
    const chunks: Buffer[] = [];
    let size = 0;
    req.on('data', (chunk: Buffer) => {
      size += chunk.length;
      if (size <= limit) chunks.push(chunk);
      else reject(createRefusal('body_too_large', { detail: `limit ${limit} bytes` }));
    });
    req.on('end', () => resolve(Buffer.concat(chunks)));
    req.on('error', () => reject(createRefusal('bad_request', { detail: 'the body broke off' })));
    req.on('close', () => reject(createRefusal('bad_request', { detail: 'the body broke off' })));
  });
}

/** Parses a JSON body; refuses what is not JSON. */
export function parseJson(body: Buffer): unknown {
  try {
    return JSON.parse(body.toString('utf8'));
  } catch (err) {
    throw createRefusal('bad_request', { detail: (err as Error).message });
  }
}
