/** HTTP server with limits on connections, header size, time-outs and unread responses. */
import {
  createServer, type IncomingMessage, type Server, type ServerResponse,
} from 'node:http';
import { createServer as createTlsServer } from 'node:https';
import { Server as NetServer, type Socket } from 'node:net';
import { createRefusal, refusalBody, type RefusalCode } from '@verbenashunt/core';
import type { TlsCredentials } from '../tls.js';
import { abortConnection } from './reset.js';

/** Connections over `maxConnections` that still get a refusal as response; the rest are closed. */
const maxRefusedConnections = 128;
const timeoutCheckMs = 500;
const statusText = 'Refused';

export interface HttpListenerOptions {
  maxConnections: number;
  maxHeaderBytes: number;
  headerTimeoutMs: number;
  bodyTimeoutMs: number;
  keepAliveTimeoutMs: number;
  /** Time without progress after which an unread response or an idle connection is closed. */
  streamStallTimeoutMs: number;
  /** Enables HTTPS; without it the server uses plain HTTP. */
  tls?: TlsCredentials | undefined;
}

export interface HttpListener {
  readonly server: Server;
  /** Number of responses that are not completely sent. */
  readonly active: number;
  /** Whether the request came on a connection over `maxConnections`. */
  isRefused(req: IncomingMessage): boolean;
  /** Accepts no further connections; `onClosed` follows when the open ones are closed. */
  stopListening(onClosed?: () => void): void;
  /** Closes the connections that were used and on which no response is awaited or being sent. */
  closeIdle(): void;
  /** Closes all connections; resets those whose response is not completely sent. */
  destroy(): void;
}

/** Maps an error of Node's HTTP parser or its time-outs to a refusal code. */
function refusalCodeOf(err: NodeJS.ErrnoException): RefusalCode {
  if (err.code === 'HPE_HEADER_OVERFLOW') return 'headers_too_large';
  return err.code === 'ERR_HTTP_REQUEST_TIMEOUT' ? 'request_timeout' : 'bad_request';
}

/** Whether bytes on a connection can still be taken for the answer to this request. */
const isAwaited = (res: ServerResponse) => res.req.complete || res.headersSent;

/**
 * Refuses what could not be parsed. While an earlier request on the connection waits for its
 * answer, the connection is closed instead, as the refusal would be taken for that answer.
 */
function respondToClientError(
  err: NodeJS.ErrnoException,
  socket: Socket,
  pending: ReadonlySet<ServerResponse>,
) {
  if (err.code === 'ECONNRESET' || !socket.writable || [...pending].some(isAwaited)) {
    socket.destroy();
    return;
  }
  const refusal = createRefusal(refusalCodeOf(err));
  const body = JSON.stringify(refusalBody(refusal));
  socket.end([
    `HTTP/1.1 ${refusal.status} ${statusText}`, 'content-type: application/json', 'connection: close',
    `content-length: ${Buffer.byteLength(body)}`, '', body,
  ].join('\r\n'));
}

/** Creates a server; the caller starts listening. */
export function createHttpListener(limits: HttpListenerOptions): HttpListener {
  const sockets = new Set<Socket>();
  const refusedSockets = new WeakSet<Socket>();
  /** Those on which a request has arrived. */
  const usedSockets = new WeakSet<Socket>();
  const pendingResponses = new Map<Socket, Set<ServerResponse>>();
  let active = 0;
  const options = {
    maxHeaderSize: limits.maxHeaderBytes,
    headersTimeout: limits.headerTimeoutMs,
    requestTimeout: limits.bodyTimeoutMs,
    keepAliveTimeout: limits.keepAliveTimeoutMs,
    connectionsCheckingInterval: timeoutCheckMs,
    noDelay: true,
  };
  const server: Server = limits.tls
    ? createTlsServer({ ...options, ...limits.tls })
    : createServer(options);
  server.maxConnections = limits.maxConnections + maxRefusedConnections;

  server.on(limits.tls ? 'secureConnection' : 'connection', (socket: Socket) => {
    if (sockets.size >= limits.maxConnections) refusedSockets.add(socket);
    sockets.add(socket);
    socket.once('close', () => sockets.delete(socket));
  });

  server.on('request', (req: IncomingMessage, res: ServerResponse) => {
    const { socket } = req;
    usedSockets.add(socket);
    active += 1;
    const pending = pendingResponses.get(socket) ?? new Set();
    pendingResponses.set(socket, pending.add(res));
    res.once('close', () => {
      active -= 1;
      pending.delete(res);
      if (pending.size === 0) pendingResponses.delete(socket);
    });
  });

  // Closes sockets without progress: the response is not being read, or no request is in progress.
  // A socket that waits for this server to produce the response is kept.
  server.setTimeout(limits.streamStallTimeoutMs, (socket) => {
    if (socket.writableLength > 0) abortConnection(socket);
    else if (!pendingResponses.has(socket)) socket.destroy();
  });
  server.on('clientError', (err, socket) => {
    const pending = pendingResponses.get(socket as Socket) ?? new Set();
    respondToClientError(err, socket as Socket, pending);
  });

  return {
    server,
    get active() {
      return active;
    },
    isRefused: (req) => refusedSockets.has(req.socket),
    stopListening(onClosed) {
      // The HTTP server's own `close` also destroys kept connections, on which a request may have
      // just arrived, and those whose last response has been handed over but not sent completely.
      NetServer.prototype.close.call(server, onClosed);
    },
    closeIdle() {
      [...sockets].filter((socket) => usedSockets.has(socket) && !pendingResponses.has(socket))
        .forEach((socket) => socket.destroy());
    },
    destroy() {
      [...pendingResponses.keys()].forEach(abortConnection);
      server.closeAllConnections();
    },
  };
}
