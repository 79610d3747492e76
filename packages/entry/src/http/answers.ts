/** Answers to callers. */
import type { ServerResponse } from 'node:http';
import {
  createRefusal, refusalBody, RefusalError, type Refusal,
} from '@verbenashunt/core';

const millisecondsPerSecond = 1000;

export function sendJson(res: ServerResponse, status: number, body: unknown) {
  res.writeHead(status, { 'content-type': 'application/json' });
  res.end(JSON.stringify(body));
}

export const toRefusal = (err: unknown): Refusal => (err instanceof RefusalError
  ? err
  : createRefusal('internal'));

/** Sends a refusal; Retry-After is in whole seconds, never less than the time given. */
export function sendRefusal(res: ServerResponse, refusal: Refusal, request?: string) {
  const { retryAfterMs } = refusal;
  if (retryAfterMs !== undefined) {
    res.setHeader('retry-after', String(Math.ceil(retryAfterMs / millisecondsPerSecond)));
  }
  sendJson(res, refusal.status, refusalBody(refusal, request));
}
