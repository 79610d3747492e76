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
const firstLimits = { headerTimeoutMs: 3000, idleTimeoutMs: 15_000, maxHeaderBytes: 65_536 };
/** Time without progress after which an idle connection or unread answer is closed. */
const stallTimeoutMs = 60_000;
/** Callers' connections that are open at once; descriptors bound them first. */
const maxConnections = 3000;

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
    maxHeaderBytes: firstLimits.maxHeaderBytes,
    headerTimeoutMs: firstLimits.headerTimeoutMs,
    bodyTimeoutMs: stallTimeoutMs,
    keepAliveTimeoutMs: firstLimits.idleTimeoutMs,
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

export interface ProbeRoutes {
  path: string;
  /** Status and body of the answer. */
  answer(): Promise<{ status: number; type: string; body: string }>;
}

/** Serves one path for the platform's checks. */
export async function serveProbe({ host, port }: Address, { path, answer }: ProbeRoutes) {
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
