/** Reads request bodies with a limit per body and one on the memory of all requests. */
import type { IncomingMessage } from 'node:http';
import { createRefusal, type Refusal } from '@verbenashunt/core';
import { createBodyBuffer } from './body-buffer.js';
import { createMemoryRefusal, type RequestMemory } from './request-memory.js';

/** Whether the headers of a request announce a body. */
export const hasBody = ({ headers }: IncomingMessage) => 'content-length' in headers
  || 'transfer-encoding' in headers;

/**
 * Whether a request has a body that was not read to its end. After its response the connection has
 * to be closed, as the rest would be parsed as the next request.
 */
export const isBodyUnread = (req: IncomingMessage) => hasBody(req) && !req.readableEnded;

/** Limits of one body. */
export interface BodyLimits {
  /** Maximum number of bytes. */
  maxBytes: number;
  /** Time in milliseconds in which it has to be complete; that of the server by default. */
  timeoutMs?: number;
  /** Ends the read; its reason is the refusal that the read rejects with. */
  signal?: AbortSignal;
}

/**
 * Reads a complete body; rejects with a refusal if it is over its limits or breaks off, or if the
 * memory of all requests is over its own limit and this one has to give way.
 */
export type BodyReader = (req: IncomingMessage, limits: BodyLimits) => Promise<Buffer>;

/** Creates a reader of the bodies of requests that are accounted for in `memory`. */
export function createBodyReader(memory: Pick<RequestMemory, 'of'>): BodyReader {
  return async (req, { maxBytes, timeoutMs, signal }) => {
    const declared = Number(req.headers['content-length'] ?? 0);
    const account = memory.of(req);
    const tooLarge = () => createRefusal('body_too_large', { detail: `limit ${maxBytes} bytes` });
    if (account?.hasGivenWay) throw createMemoryRefusal();
    if (declared > maxBytes) throw tooLarge();
    const body = createBodyBuffer(declared);
    let isSettled = false;
    let timer: NodeJS.Timeout | undefined;
    try {
      return await new Promise<Buffer>((resolve, reject) => {
        const refuse = (refusal: Refusal) => {
          isSettled = true;
          reject(refusal);
        };
        account?.onGiveWay(() => refuse(createMemoryRefusal()));
        signal?.addEventListener('abort', () => refuse(signal.reason as Refusal));
        if (timeoutMs !== undefined) {
          timer = setTimeout(() => refuse(createRefusal('request_timeout')), timeoutMs);
        }
        // `close` follows each request; an error with its stack trace is created only if needed.
        const onIncomplete = () => {
          if (!isSettled) refuse(createRefusal('bad_request', { detail: 'the body broke off' }));
        };
        req.on('data', (chunk: Buffer) => {
          // After a refusal the parser still hands over the rest of what it has read.
          if (isSettled) return;
          body.add(chunk);
          if (body.length > maxBytes) refuse(tooLarge());
          else account?.receivePart(chunk.length, body.heldBytes);
        });
        req.on('end', () => {
          // May be the one that has to give way.
          account?.complete();
          resolve(body.toBuffer());
        });
        req.on('error', onIncomplete);
        req.on('close', onIncomplete);
      });
    } finally {
      isSettled = true;
      clearTimeout(timer);
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
