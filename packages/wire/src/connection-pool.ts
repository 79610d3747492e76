/** Connections to HTTP servers, one exchange at a time on each; idle ones are kept for a time. */
import type { Socket } from 'node:net';
import { buildConnector, Client } from 'undici';
import { wasReset } from './http/reset.js';

export interface ConnectionPoolOptions {
  /** `http` by default. */
  protocol?: 'http' | 'https';
  connectTimeoutMs: number;
  /** Idle time after which a connection is not reused, unless the server announces another. */
  keepAliveMs: number;
}

/** Time before the server's announced keep-alive end at which a connection is no longer reused. */
const keepAliveMarginMs = 1000;
/** Maximum number of idle connections per address. */
const maxIdlePerAddress = 4;
/** Idle time after which the kernel sends TCP keep-alive probes on a connection. */
const keepAliveProbeDelayMs = 1000;

export interface Connection {
  client: Client;
  /** Undefined before it is connected. */
  socket: Socket | undefined;
  /** Whether the socket had an error, such as a reset, instead of an orderly end. */
  hasSocketError: boolean;
  isClosed: boolean;
}

export interface ConnectionPool {
  /** Opens a connection. */
  open(address: string): Connection;
  /** Returns an idle connection, or opens one. */
  take(address: string): Connection;
  /** Keeps a connection that is idle for a later exchange. */
  giveBack(address: string, connection: Connection): void;
  destroy(connection: Connection): void;
  /** Closes the idle connections to an address. */
  dropIdle(address: string): void;
  close(): void;
}

export function createConnectionPool(
  { protocol = 'http', connectTimeoutMs, keepAliveMs }: ConnectionPoolOptions,
): ConnectionPool {
  const connect = buildConnector({
    timeout: connectTimeoutMs, keepAlive: true, keepAliveInitialDelay: keepAliveProbeDelayMs,
  });
  const idleConnections = new Map<string, Connection[]>();
  const openConnections = new Set<Connection>();

  function open(address: string): Connection {
    const connection: Connection = {
      socket: undefined,
      hasSocketError: false,
      isClosed: false,
      client: new Client(`${protocol}://${address}`, {
        pipelining: 1,
        headersTimeout: 0,
        bodyTimeout: 0,
        keepAliveTimeout: keepAliveMs,
        keepAliveTimeoutThreshold: keepAliveMarginMs,
        connect(options, callback) {
          connect(options, (...[err, socket]: [Error, null] | [null, Socket]) => {
            // Registered before undici's own listeners, which treat a reset as the response's end.
            socket?.once('error', () => {
              connection.hasSocketError = true;
            });
            socket?.once('end', () => {
              connection.hasSocketError ||= wasReset(socket);
            });
            if (err) {
              callback(err, null);
              return;
            }
            connection.socket = socket;
            callback(null, socket);
          });
        },
      }),
    };
    openConnections.add(connection);
    connection.client.on('disconnect', () => {
      connection.isClosed = true;
    });
    return connection;
  }

  function destroy(connection: Connection) {
    openConnections.delete(connection);
    connection.client.destroy().catch(() => {
      // The connection is discarded, so a failure to close it does not matter.
    });
  }

  function takeIdle(address: string): Connection | undefined {
    const list = idleConnections.get(address) ?? [];
    const connection = list.pop();
    if (!connection) return undefined;
    if (!connection.isClosed) return connection;
    destroy(connection);
    return takeIdle(address);
  }

  function giveBack(address: string, connection: Connection) {
    const list = idleConnections.get(address) ?? [];
    if (connection.isClosed || list.length >= maxIdlePerAddress) {
      destroy(connection);
      return;
    }
    list.push(connection);
    idleConnections.set(address, list);
  }

  return {
    open,
    take: (address) => takeIdle(address) ?? open(address),
    giveBack,
    destroy,
    dropIdle(address) {
      idleConnections.get(address)?.forEach(destroy);
      idleConnections.delete(address);
    },
    close: () => [...openConnections].forEach(destroy),
  };
}
