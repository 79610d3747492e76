/** The HTTP server below the routes: bounds on connections, headers, times and unread answers. */
import {
  createServer, type IncomingMessage, type Server, type ServerResponse,
} from 'node:http';
import { createServer as createTlsServer } from 'node:https';
import type { Socket } from 'node:net';
import { createRefusal, refusalBody, type RefusalCode } from '@verbenashunt/core';
import type { TlsMaterial } from '../tls.js';

/** Connections beyond the bound that still get an answer; further ones are closed unheard. */
const refusedConnectionSlack = 128;
const timeoutCheckMs = 500;
const statusText = 'Refused';

export interface HttpBounds {
  maxConnections: number;
  maxHeaderBytes: number;
  headerTimeoutMs: number;
  bodyTimeoutMs: number;
  keepAliveTimeoutMs: number;
  streamStallTimeoutMs: number;
  /** Certificate and key; without them the server speaks plain HTTP. */
  tls?: TlsMaterial | undefined;
}

export interface HttpListener {
  readonly server: Server;
  /** Answers that have not wholly left. */
  readonly active: number;
  /** Whether the connection of a request is one too many. */
  isRefused(req: IncomingMessage): boolean;
}

/** The refusal for bytes that never became a request. */
function codeOf(err: NodeJS.ErrnoException): RefusalCode {
  if (err.code === 'HPE_HEADER_OVERFLOW') return 'headers_too_large';
  return err.code === 'ERR_HTTP_REQUEST_TIMEOUT' ? 'request_timeout' : 'bad_request';
}

function answerClientError(err: NodeJS.ErrnoException, socket: Socket) {
  if (err.code === 'ECONNRESET' || !socket.writable) {
    socket.destroy();
    return;
  }
  const refusal = createRefusal(codeOf(err));
  const body = JSON.stringify(refusalBody(refusal));
  socket.end([
    `HTTP/1.1 ${refusal.status} ${statusText}`, 'content-type: application/json', 'connection: close',
    `content-length: ${Buffer.byteLength(body)}`, '', body,
  ].join('\r\n'));
}

/** Creates a server that is not listening yet. */
export function createHttpListener(bounds: HttpBounds): HttpListener {
  const sockets = new Set<Socket>();
  const refused = new WeakSet<Socket>();
  const busy = new Map<Socket, number>();
  let active = 0;
  const options = {
    maxHeaderSize: bounds.maxHeaderBytes,
    headersTimeout: bounds.headerTimeoutMs,
    requestTimeout: bounds.bodyTimeoutMs,
    keepAliveTimeout: bounds.keepAliveTimeoutMs,
    connectionsCheckingInterval: timeoutCheckMs,
    noDelay: true,
  };
  const server: Server = bounds.tls
    ? createTlsServer({ ...options, ...bounds.tls })
    : createServer(options);
  server.maxConnections = bounds.maxConnections + refusedConnectionSlack;

  server.on(bounds.tls ? 'secureConnection' : 'connection', (socket: Socket) => {
    if (sockets.size >= bounds.maxConnections) refused.add(socket);
    sockets.add(socket);
    socket.once('close', () => sockets.delete(socket));
  });

  server.on('request', (req: IncomingMessage, res: ServerResponse) => {
    const { socket } = req;
    active += 1;
    busy.set(socket, (busy.get(socket) ?? 0) + 1);
    res.once('close', () => {
      active -= 1;
      const left = (busy.get(socket) ?? 1) - 1;
      if (left > 0) busy.set(socket, left);
      else busy.delete(socket);
    });
  });

  // Without progress for this long: an answer is unread, or the connection is idle.
  server.setTimeout(bounds.streamStallTimeoutMs, (socket) => {
    if (socket.writableLength > 0 || !busy.has(socket)) socket.destroy();
  });
  server.on('clientError', (err, socket) => answerClientError(err, socket as Socket));

  return {
    server,
    get active() {
      return active;
    },
    isRefused: (req) => refused.has(req.socket),
  };
}
