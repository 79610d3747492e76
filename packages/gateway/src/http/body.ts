/** Reads the body of a caller's request within a bound. */
import type { IncomingMessage } from 'node:http';
import { createRefusal } from '@verbenashunt/core';

/** Resolves to undefined for a request without a body. */
export function readBody(req: IncomingMessage, limit: number): Promise<Buffer | undefined> {
  const declared = req.headers['content-length'];
  if (declared === undefined && req.headers['transfer-encoding'] === undefined) {
    return Promise.resolve(undefined);
  }
  if (Number(declared ?? 0) > limit) throw createRefusal('body_too_large', { detail: `limit ${limit} bytes` });
  return new Promise((resolve, reject) => {
    const chunks: Buffer[] = [];
    let size = 0;
    const broken = () => reject(createRefusal('bad_request', { detail: 'the body broke off' }));
    req.on('data', (chunk: Buffer) => {
      size += chunk.length;
      chunks.push(chunk);
      if (size > limit) reject(createRefusal('body_too_large', { detail: `limit ${limit} bytes` }));
    });
    req.on('end', () => resolve(Buffer.concat(chunks)));
    req.on('error', broken);
    req.on('close', broken);
  });
}
