/** HTTP client for the service that this agent fronts. */
import { Pool } from 'undici';
import { TargetError } from '@verbenashunt/core';
import type { Call, CallResult } from '@verbenashunt/schema';
import { connectionHeaders } from '@verbenashunt/wire';

const maxConnections = 64;
const maxResponseBytes = 4 * 1024 * 1024;

/** Headers that are not forwarded: those of a single connection and the caller's credentials. */
const droppedHeaders = new Set([...connectionHeaders, 'host', 'content-length', 'authorization']);

export interface ServiceTarget {
  /**
   * Sends one HTTP request and never retries it. Rejects with TargetError without a complete
   * response.
   */
  call(call: Call, signal: AbortSignal): Promise<CallResult>;
  close(): Promise<void>;
}

const forwardedHeaders = (
  headers: Record<string, string | string[] | undefined>,
) => Object.fromEntries(
  Object.entries(headers)
    .filter(([name]) => !droppedHeaders.has(name.toLowerCase()))
    .map(([name, value]) => [name, Array.isArray(value) ? value.join(', ') : String(value)]),
);

export function createServiceTarget(url: string): ServiceTarget {
  const pool = new Pool(url, { connections: maxConnections, maxResponseSize: maxResponseBytes });
  return {
    async call({
      method, path, headers, body, timeLeftMs,
    }, signal) {
      try {
        const res = await pool.request({
          method,
          path,
          headers: forwardedHeaders(headers),
          body: body === '' ? null : Buffer.from(body, 'base64'),
          // Stops undici from pipelining the request behind another one.
          idempotent: false,
          signal: AbortSignal.any([
            signal, AbortSignal.timeout(Math.max(1, Math.ceil(timeLeftMs))),
          ]),
        });
        const bytes = Buffer.from(await res.body.arrayBuffer());
        return {
          status: res.statusCode, headers: forwardedHeaders(res.headers), body: bytes.toString('base64'),
        };
      } catch (err) {
        throw new TargetError(`no complete response to ${method} ${path}`, { cause: err });
      }
    },
    close: () => pool.destroy(),
  };
}
