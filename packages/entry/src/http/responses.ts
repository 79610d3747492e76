/** JSON responses to callers and operators. */
import type { ServerResponse } from 'node:http';
import { refusalBody, type Refusal } from '@verbenashunt/core';

const millisecondsPerSecond = 1000;

export function sendJson(res: ServerResponse, status: number, body: unknown) {
  res.writeHead(status, { 'content-type': 'application/json' });
  res.end(JSON.stringify(body));
}

/** Sends a refusal; its time to retry after is rounded up to whole seconds for Retry-After. */
export function sendRefusal(res: ServerResponse, refusal: Refusal, request?: string) {
  const { retryAfterMs } = refusal;
  if (retryAfterMs !== undefined) {
    res.setHeader('retry-after', String(Math.ceil(retryAfterMs / millisecondsPerSecond)));
  }
  sendJson(res, refusal.status, refusalBody(refusal, request));
}
