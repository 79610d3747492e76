/** HTTP servers of the gateway for callers, readiness checks and metrics. */
import type { IncomingMessage, ServerResponse } from 'node:http';
import type { AddressInfo } from 'node:net';
import restana from 'restana';
import type { CallerLimits, Refusal } from '@verbenashunt/core';
import {
  createHttpListener, createRequestMemory, internalServerLimits,
  type HttpListener, type RequestMemory,
} from '@verbenashunt/wire';

export interface Address {
  host: string;
  port: number;
}

/** Limits in force until the first configuration arrives. */
const initialLimits = { headerTimeoutMs: 3000, idleTimeoutMs: 15_000 };
/** Maximum size of headers that the parser reads, in bytes; the configured limit is lower. */
const maxReadHeaderBytes = 256 * 1024;
/** Time in milliseconds without progress after which a body or an unread answer is aborted. */
const stallTimeoutMs = 60_000;
/** Maximum number of open connections of callers; the file descriptor limit is reached first. */
const maxConnections = 3000;

/** Bytes of a header line besides its name and value. */
const lineOverheadBytes = ': \r\n'.length;

/** Size of the request line and headers in bytes as sent, except for optional spaces. */
export function headerBytesOf({ method = '', url = '', rawHeaders }: IncomingMessage): number {
  const firstLine = `${method} ${url} HTTP/1.1\r\n`.length;
  const texts = rawHeaders.reduce((sum, text) => sum + text.length, 0);
  return firstLine + texts + (rawHeaders.length / 2) * lineOverheadBytes;
}

export interface CallerServer {
  readonly port: number;
  /** Number of answers that have not been sent completely. */
  readonly active: number;
  apply(limits: CallerLimits): void;
  /**
   * Accepts the connections that wait, for `maxAcceptMs` milliseconds at most, and then no further
   * ones; requests on open ones are still answered.
   */
  close(maxAcceptMs: number): Promise<void>;
  destroy(): void;
}

/** Duration in milliseconds of a turn in which hardly any connection arrives unaccepted. */
const shortTurnMs = 0.5;
/** Increase of that duration per millisecond waited, as turns are never short on a busy VM. */
const shortTurnGrowth = 0.03;

/**
 * Stops listening after a short turn of the event loop that accepted no connection, or after
 * `maxMs`. Each turn accepts one, and closing the listener resets those that are established and
 * not accepted yet, with the requests on them; after a long turn there may be some.
 */
function stopListeningWhenQuiet({ server, stopListening }: HttpListener, maxMs: number) {
  const startedAt = performance.now();
  const until = startedAt + maxMs;
  let hasAccepted = true;
  const accepted = () => {
    hasAccepted = true;
  };
  server.on('connection', accepted);
  return new Promise<void>((resolve) => {
    const checkNextTurn = (turnStartedAt: number) => setImmediate(() => {
      const now = performance.now();
      const longestMs = shortTurnMs + shortTurnGrowth * (now - startedAt);
      const isQuiet = !hasAccepted && now - turnStartedAt < longestMs;
      if (!isQuiet && now < until) {
        hasAccepted = false;
        checkNextTurn(now);
        return;
      }
      stopListening();
      server.off('connection', accepted);
      resolve();
    });
    checkNextTurn(performance.now());
  });
}

export interface CallerServerDeps {
  memory: RequestMemory;
  /** Handles a request; `refusal` is set if it has to be refused at once, with its connection. */
  handle(req: IncomingMessage, res: ServerResponse, refusal: Refusal | undefined): Promise<void>;
}

export async function serveCallers({ host, port }: Address, { memory, handle }: CallerServerDeps) {
  let maxHeaderBytes = maxReadHeaderBytes;
  const listener = createHttpListener({
    memory,
    maxConnections,
    maxHeaderBytes: maxReadHeaderBytes,
    maxPartialHeaderBytes: () => maxHeaderBytes,
    headerTimeoutMs: initialLimits.headerTimeoutMs,
    bodyTimeoutMs: stallTimeoutMs,
    keepAliveTimeoutMs: initialLimits.idleTimeoutMs,
    streamStallTimeoutMs: stallTimeoutMs,
  });
  const { server } = listener;
  const app = restana({
    server,
    defaultRoute: (req, res) => handle(req, res, listener.refusalOf(req)),
    prioRequestsProcessing: false,
  });
  await app.start(port, host);
  const callerServer: CallerServer = {
    port: (server.address() as AddressInfo).port,
    get active() {
      return listener.active;
    },
    apply({ headerTimeoutMs, idleTimeoutMs, ...next }) {
      maxHeaderBytes = next.maxHeaderBytes;
      server.headersTimeout = headerTimeoutMs;
      server.keepAliveTimeout = idleTimeoutMs;
    },
    close: (maxAcceptMs) => stopListeningWhenQuiet(listener, maxAcceptMs),
    destroy: listener.destroy,
  };
  return callerServer;
}

export interface ProbeRoute {
  path: string;
  answer(): Promise<{ status: number; type: string; body: string }>;
}

/** Maximum number of connections for a probe; few processes ask, each for one answer. */
const maxProbeConnections = 64;
/** Limit on the memory in bytes of their requests. */
const maxProbeBufferedBytes = 1024 * 1024;

/** Serves GET requests for one path, for health checks or metrics. */
export async function serveProbe({ host, port }: Address, { path, answer }: ProbeRoute) {
  const listener = createHttpListener({
    ...internalServerLimits,
    maxConnections: maxProbeConnections,
    memory: createRequestMemory({ maxBufferedBytes: maxProbeBufferedBytes }),
  });
  const app = restana({ server: listener.server });
  app.get(path, async (_: unknown, res) => {
    const { status, type, body } = await answer();
    res.statusCode = status;
    res.setHeader('content-type', type);
    res.setHeader('cache-control', 'no-store');
    res.end(body);
  });
  await app.start(port, host);
  return {
    port: (listener.server.address() as AddressInfo).port,
    close() {
      listener.stopListening();
      listener.server.closeAllConnections();
    },
  };
}
