/** The listening side of the peer protocol. */
import type { AddressInfo, Server } from 'node:net';
import { PeerError, SystemClock, type Clock } from '@verbenashunt/core';
import type { Hello } from '@verbenashunt/schema';
import { createConnection, type Connection, type ConnectionHandlers } from './connection.js';
import type { Heartbeats, Watch } from './heartbeat.js';
import { createPeerServer, type TlsCredentials } from './tls.js';

const helloTimeoutMs = 3000;

/** Silence after which a connection is closed; the dialling side pings far more often. */
const maxSilenceMs = 30_000;

/** Maximum number of open connections; further ones are refused. */
const maxConnections = 10_000;

export interface PeerListener {
  /** The bound port; if port 0 was requested, the one that the system assigned. */
  readonly port: number;
  readonly connections: ReadonlySet<Connection>;
  close(): void;
}

export interface ListenOptions {
  clock?: Clock;
  /** Heartbeats of the process; without them, silent connections are not closed. */
  heartbeats?: Heartbeats;
  /** Enables mutual TLS; without it the listener accepts plain TCP. */
  tls?: TlsCredentials | undefined;
}

const createSilenceError = () => new PeerError(
  `received nothing from the peer for ${maxSilenceMs} ms`,
  { props: { code: 'peer_silent' } },
);

/** Listens for peers; resolves once the port is bound, rejects if it cannot be bound. */
export async function listenForPeers(
  host: string,
  port: number,
  hello: () => Hello,
  handlers: ConnectionHandlers,
  { clock = new SystemClock(), heartbeats, tls }: ListenOptions = {},
): Promise<PeerListener> {
  const connections = new Set<Connection>();
  const watches = new Map<Connection, Watch>();
  const server: Server = createPeerServer(tls, (socket) => {
    const created = createConnection(socket, {
      clock,
      hello,
      helloTimeoutMs,
      handlers: {
        onMessage: handlers.onMessage,
        onOpen(connection) {
          const watch = heartbeats?.watchSilence(
            connection,
            maxSilenceMs,
            () => connection.close(createSilenceError()),
          );
          if (watch) watches.set(connection, watch);
          handlers.onOpen(connection);
        },
        onClose(closed, err) {
          connections.delete(closed);
          watches.get(closed)?.stop();
          watches.delete(closed);
          handlers.onClose(closed, err);
        },
      },
    });
    connections.add(created);
  });
  server.maxConnections = maxConnections;
  await new Promise<void>((resolve, reject) => {
    server.once('error', reject);
    server.listen(port, host, resolve);
  });
  return {
    port: (server.address() as AddressInfo).port,
    connections,
    close() {
      server.close();
      connections.forEach((connection) => connection.close());
    },
  };
}
