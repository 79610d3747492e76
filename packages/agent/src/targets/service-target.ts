/** The agent's side of a plain service. */
import { Pool } from 'undici';
import { TargetError } from '@verbenashunt/core';
import type { Call, CallResult } from '@verbenashunt/schema';
import { connectionHeaders } from '@verbenashunt/wire';

const connectionCount = 64;
const maxAnswerBytes = 4 * 1024 * 1024;

/** Headers that belong to one connection and are not passed on. */
const hopHeaders = new Set([...connectionHeaders, 'host', 'content-length', 'authorization']);

export interface ServiceTarget {
  /** Makes one call; TargetError when the target gave no whole answer. Never calls twice. */
  call(call: Call, signal: AbortSignal): Promise<CallResult>;
  close(): Promise<void>;
}

const passedOn = (headers: Record<string, string | string[] | undefined>) => Object.fromEntries(
  Object.entries(headers)
    .filter(([name]) => !hopHeaders.has(name.toLowerCase()))
    .map(([name, value]) => [name, Array.isArray(value) ? value.join(', ') : String(value)]),
);

export function createServiceTarget(url: string): ServiceTarget {
  const pool = new Pool(url, { connections: connectionCount, maxResponseSize: maxAnswerBytes });
  return {
    async call({
      method, path, headers, body, timeLeftMs,
    }, signal) {
      try {
        const res = await pool.request({
          method,
          path,
          headers: passedOn(headers),
          body: body === '' ? null : Buffer.from(body, 'base64'),
          // Keeps undici from pipelining the call behind another one.
          idempotent: false,
          signal: AbortSignal.any([
            signal, AbortSignal.timeout(Math.max(1, Math.ceil(timeLeftMs))),
          ]),
        });
        const bytes = Buffer.from(await res.body.arrayBuffer());
        return {
          status: res.statusCode, headers: passedOn(res.headers), body: bytes.toString('base64'),
        };
      } catch (err) {
        throw new TargetError(`${method} ${path} had no whole answer`, { cause: err });
      }
    },
    close: () => pool.destroy(),
  };
}
