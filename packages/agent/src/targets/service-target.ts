/** HTTP client for the service that this agent fronts. */
import type { IncomingHttpHeaders } from 'node:http';
import { TargetError } from '@verbenashunt/core';
import type { Call, CallResult } from '@verbenashunt/schema';
import { connectionHeaders, createExchanger, exchangeOnce } from '@verbenashunt/wire';

const connectTimeoutMs = 10_000;
/** Idle time in milliseconds for which connections are kept; unused, as each serves one call. */
const keepAliveMs = 1000;
const maxResponseBytes = 4 * 1024 * 1024;

/** Headers that are not forwarded: those of a single connection and the caller's credentials. */
const droppedHeaders = new Set([...connectionHeaders, 'host', 'content-length', 'authorization']);

export interface ServiceTarget {
  /**
   * Sends one HTTP request and never retries it. Rejects with TargetError without a complete
   * response, also if the connection was reset during one that has no length or chunks.
   */
  call(call: Call, signal: AbortSignal): Promise<CallResult>;
  close(): Promise<void>;
}

const forwardedHeaders = (headers: IncomingHttpHeaders) => Object.fromEntries(
  Object.entries(headers)
    .filter(([name]) => !droppedHeaders.has(name.toLowerCase()))
    .map(([name, value]) => [name, Array.isArray(value) ? value.join(', ') : String(value)]),
);

export function createServiceTarget(url: string): ServiceTarget {
  const { host, protocol } = new URL(url);
  const exchanger = createExchanger({
    protocol: protocol === 'https:' ? 'https' : 'http', connectTimeoutMs, keepAliveMs,
  });

  return {
    async call({
      method, path, headers, body, timeLeftMs,
    }, signal) {
      const response = await exchangeOnce(exchanger, host, {
        method,
        path,
        headers: Object.entries(forwardedHeaders(headers)).flat(),
        body: body === '' ? undefined : Buffer.from(body, 'base64'),
      }, Math.max(1, Math.ceil(timeLeftMs)), {
        // A service's answer names no request, so a late copy of an earlier one looks the same.
        dedicatedConnection: true,
        signal,
      });
      if (response.body.length > maxResponseBytes) {
        throw new TargetError(`${method} ${path} got over ${maxResponseBytes} bytes`);
      }
      return {
        status: response.status,
        headers: forwardedHeaders(response.headers),
        body: response.body.toString('base64'),
        ...(response.isFramed ? {} : { isFramed: false }),
      };
    },
    async close() {
      exchanger.close();
    },
  };
}
