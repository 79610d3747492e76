/** HTTP server with limits on connections, header size, time-outs and unread responses. */
import {
  createServer, type IncomingMessage, type Server, type ServerResponse,
} from 'node:http';
import { createServer as createTlsServer } from 'node:https';
import { Server as NetServer, type Socket } from 'node:net';
import { createRefusal, type Refusal } from '@verbenashunt/core';
import type { TlsCredentials } from '../tls.js';
import { hasBody } from './body.js';
import { createClientErrorHandler } from './client-errors.js';
import { limitConnections, maxRefusedConnections } from './connection-limit.js';
import { createConnectionState, type ConnectionState } from './connection-state.js';
import { findHeadFault } from './head-check.js';
import { watchIntake } from './intake.js';
import { afterNextRead } from './next-read.js';
import { createMemoryRefusal, type RequestMemory } from './request-memory.js';
import { abortConnection } from './reset.js';

const timeoutCheckMs = 500;

export interface HttpListenerOptions {
  maxConnections: number;
  /** Maximum size in bytes of the request line and headers, without separators, to be parsed. */
  maxHeaderBytes: number;
  /** Lower limit for heads that arrive in parts, separators included; the same by default. */
  maxPartialHeaderBytes?(): number;
  /** Accounts of the memory of its requests; servers may share them. */
  memory: RequestMemory;
  headerTimeoutMs: number;
  bodyTimeoutMs: number;
  keepAliveTimeoutMs: number;
  /** Time without progress after which an unread response or an idle connection is closed. */
  streamStallTimeoutMs: number;
  /** Enables HTTPS; without it the server uses plain HTTP. */
  tls?: TlsCredentials | undefined;
}

/** Limits for servers that other processes of the system call, with small requests. */
export const internalServerLimits = {
  maxHeaderBytes: 16 * 1024,
  headerTimeoutMs: 10_000,
  bodyTimeoutMs: 30_000,
  keepAliveTimeoutMs: 65_000,
  streamStallTimeoutMs: 60_000,
};

/**
 * Whether a response can still reach its client; if not, the client must not expect that its
 * request is handled. An earlier response or refusal may have closed the connection.
 */
export const canRespond = (res: ServerResponse) => !res.destroyed && res.req.socket.writable;

export interface HttpListener {
  readonly server: Server;
  /** Number of responses that are not completely sent. */
  readonly active: number;
  /**
   * Why the request must be refused at once, with its connection: it is over `maxConnections`,
   * there is no memory for the request, or its head is malformed. Undefined if it may be handled.
   */
  refusalOf(req: IncomingMessage): Refusal | undefined;
  /** Accepts no further connections; `onClosed` follows when the open ones are closed. */
  stopListening(onClosed?: () => void): void;
  /** Closes the connections that were used and on which no response is awaited or being sent. */
  closeIdle(): void;
  /** Closes all connections; resets those whose response is not completely sent. */
  destroy(): void;
}

/** Creates a server; the caller starts listening. */
export function createHttpListener(limits: HttpListenerOptions): HttpListener {
  const { memory, maxPartialHeaderBytes = () => limits.maxHeaderBytes } = limits;
  const connections = new Map<Socket, ConnectionState>();
  const refusedSockets = new WeakSet<Socket>();
  let active = 0;

  /** A connection that has closed has a state of its own, which is not kept. */
  const stateOf = (socket: Socket): ConnectionState => connections.get(socket)
    ?? createConnectionState();
  const hasPending = (socket: Socket) => stateOf(socket).pending.size > 0;

  const options = {
    maxHeaderSize: limits.maxHeaderBytes,
    headersTimeout: limits.headerTimeoutMs,
    requestTimeout: limits.bodyTimeoutMs,
    keepAliveTimeout: limits.keepAliveTimeoutMs,
    // Checked in `refusalOf`, as Node.js refuses without a body.
    requireHostHeader: false,
    handshakeTimeout: limits.headerTimeoutMs,
    connectionsCheckingInterval: timeoutCheckMs,
    noDelay: true,
  };
  const server: Server = limits.tls
    ? createTlsServer({ ...options, ...limits.tls })
    : createServer(options);
  // Node.js drops lines over its default of 1000 or so, `content-length` and keys among them. Their
  // size is limited instead.
  server.maxHeadersCount = 0;
  server.maxConnections = limits.maxConnections
    + Math.min(limits.maxConnections, maxRefusedConnections);
  const isOverLimit = limitConnections(server, {
    maxConnections: limits.maxConnections, isTls: limits.tls !== undefined, connections,
  });

  server.on(limits.tls ? 'secureConnection' : 'connection', (socket: Socket) => {
    if (isOverLimit(socket)) refusedSockets.add(socket);
    const state = createConnectionState();
    connections.set(socket, state);
    socket.once('close', () => connections.delete(socket));
    state.hasPartialHead = watchIntake(socket, state, {
      memory,
      maxHeaderBytes: maxPartialHeaderBytes,
      headerTimeoutMs: () => server.headersTimeout,
    });
  });

  server.on('request', (req: IncomingMessage, res: ServerResponse) => {
    const state = stateOf(req.socket);
    state.requests += 1;
    state.pending.add(res);
    state.last = req;
    state.lastProgressAt = performance.now();
    active += 1;
    const account = memory.openRequest(req);
    if (!hasBody(req)) account.complete();
    res.once('close', () => {
      active -= 1;
      account.close();
      // A kept connection would hold its headers.
      if (state.last === req) state.last = undefined;
      state.pending.delete(res);
      state.lastProgressAt = performance.now();
    });
  });

  /**
   * Closes a socket without progress: the response is not being read, or no request is in progress.
   * A socket is kept that waits for this server to produce the response, or on which bytes have
   * arrived that were not read yet.
   */
  async function closeStalled(socket: Socket) {
    if (socket.writableLength > 0) {
      abortConnection(socket);
      return;
    }
    const { bytesRead } = socket;
    await afterNextRead();
    if (!hasPending(socket) && socket.bytesRead === bytesRead) socket.destroy();
  }

  server.setTimeout(limits.streamStallTimeoutMs, closeStalled);
  const handleClientError = createClientErrorHandler(stateOf, limits.bodyTimeoutMs);
  server.on('clientError', (err, socket) => handleClientError(err, socket as Socket));

  return {
    server,
    get active() {
      return active;
    },
    refusalOf(req) {
      if (refusedSockets.has(req.socket)) return createRefusal('too_many_connections');
      if (memory.of(req)?.hasGivenWay) return createMemoryRefusal();
      const fault = findHeadFault(req);
      return fault === undefined ? undefined : createRefusal('bad_request', { detail: fault });
    },
    stopListening(onClosed) {
      // The HTTP server's own `close` also destroys kept connections, on which a request may have
      // just arrived, and those whose last response has been handed over but not sent completely.
      NetServer.prototype.close.call(server, onClosed);
    },
    closeIdle() {
      [...connections].filter(([, { requests, pending }]) => requests > 0 && pending.size === 0)
        .forEach(([socket]) => socket.destroy());
    },
    destroy() {
      [...connections.keys()].filter(hasPending).forEach(abortConnection);
      server.closeAllConnections();
    },
  };
}
