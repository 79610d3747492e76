/** The listening side of the protocol between the system's processes. */
import type { AddressInfo, Server } from 'node:net';
import { PeerError, SystemClock, type Clock } from '@verbenashunt/core';
import type { Hello } from '@verbenashunt/schema';
import { createConnection, type Connection, type ConnectionHandlers } from './connection.js';
import type { Heartbeats, Watch } from './heartbeat.js';
import { createPeerServer, type TlsMaterial } from './tls.js';

const helloTimeoutMs = 3000;

/** Silence after which the listening side closes; the dialling side pings far more often. */
const maxSilenceMs = 30_000;

/** Connections open at once; further ones are refused. */
const maxConnections = 10_000;

export interface PeerListener {
  /** The port in use, also when 0 was asked for. */
  readonly port: number;
  readonly connections: ReadonlySet<Connection>;
  close(): void;
}

export interface ListenOptions {
  clock?: Clock;
  /** The process's ticker; without one, silence is not watched. */
  heartbeats?: Heartbeats;
  /** Speaks TLS with this. */
  tls?: TlsMaterial | undefined;
}

const silent = () => new PeerError(
  `nothing heard for ${maxSilenceMs} ms`,
  { props: { code: 'peer_silent' } },
);

/** Listens for peers; resolves when the port is bound and rejects when it cannot be. */
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
          const watch = heartbeats?.listen(
            connection,
            maxSilenceMs,
            () => connection.close(silent()),
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
