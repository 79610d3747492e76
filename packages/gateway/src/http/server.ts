/** The HTTP services of the gateway: callers, readiness and metrics, each on its own address. */
import type { IncomingMessage, ServerResponse } from 'node:http';
import type { AddressInfo } from 'node:net';
import restana from 'restana';
import type { CallerLimits } from '@verbenashunt/core';
import { createHttpListener } from '@verbenashunt/wire';

export interface Address {
  host: string;
  port: number;
}

export type Handler = (req: IncomingMessage, res: ServerResponse) => Promise<void>;

/** Bounds until the configuration brings its own. */
const initialLimits = { headerTimeoutMs: 3000, idleTimeoutMs: 15_000 };
/** Headers that are read at all, in bytes; the configuration's limit lies below. */
const maxReadHeaderBytes = 256 * 1024;
/** Time without progress after which an idle connection or unread answer is closed. */
const stallTimeoutMs = 60_000;
/** Callers' connections that are open at once; descriptors bound them first. */
const maxConnections = 3000;

/** Bytes that a header line has beside its name and value. */
const lineOverheadBytes = ': \r\n'.length;

/** Size of a request's first line and headers in bytes, as sent but for spaces. */
export function headerBytesOf({ method = '', url = '', rawHeaders }: IncomingMessage): number {
  const firstLine = `${method} ${url} HTTP/1.1\r\n`.length;
  const texts = rawHeaders.reduce((sum, text) => sum + text.length, 0);
  return firstLine + texts + (rawHeaders.length / 2) * lineOverheadBytes;
}

export interface CallerServer {
  readonly port: number;
  /** Answers that have not wholly left. */
  readonly active: number;
  apply(limits: CallerLimits): void;
  destroy(): void;
}

export async function serveCallers({ host, port }: Address, handler: Handler) {
  const listener = createHttpListener({
    maxConnections,
    maxHeaderBytes: maxReadHeaderBytes,
    headerTimeoutMs: initialLimits.headerTimeoutMs,
    bodyTimeoutMs: stallTimeoutMs,
    keepAliveTimeoutMs: initialLimits.idleTimeoutMs,
    streamStallTimeoutMs: stallTimeoutMs,
  });
  const { server } = listener;
  const app = restana({ server, defaultRoute: handler, prioRequestsProcessing: false });
  await app.start(port, host);
  const callerServer: CallerServer = {
    port: (server.address() as AddressInfo).port,
    get active() {
      return listener.active;
    },
    apply({ headerTimeoutMs, idleTimeoutMs }) {
      server.headersTimeout = headerTimeoutMs;
      server.keepAliveTimeout = idleTimeoutMs;
    },
    destroy() {
      server.close();
      server.closeAllConnections();
    },
  };
  return callerServer;
}

export interface ProbeRoute {
  path: string;
  /** Status and body of the answer. */
  answer(): Promise<{ status: number; type: string; body: string }>;
}

/** Serves one path for the platform's checks. */
export async function serveProbe({ host, port }: Address, { path, answer }: ProbeRoute) {
  const app = restana();
  app.get(path, async (_: unknown, res) => {
    const { status, type, body } = await answer();
    res.statusCode = status;
    res.setHeader('content-type', type);
    res.setHeader('cache-control', 'no-store');
    res.end(body);
  });
  const server = await app.start(port, host);
  return {
    port: (server.address() as AddressInfo).port,
    close() {
      server.close();
      server.closeAllConnections();
    },
  };
}
