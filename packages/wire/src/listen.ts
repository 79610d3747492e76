/** The listening side of the protocol between the system's processes. */
import { createServer, type AddressInfo, type Server } from 'node:net';
import type { Hello } from '@verbenashunt/schema';
import { createConnection, type Connection, type ConnectionHandlers } from './connection.js';

export interface PeerListener {
  /** The port in use, also when 0 was asked for. */
  readonly port: number;
  readonly connections: ReadonlySet<Connection>;
  close(): void;
}

/** Listens for peers; resolves when the port is bound and rejects when it cannot be. */
export async function listenForPeers(
  host: string,
  port: number,
  hello: () => Hello,
  handlers: ConnectionHandlers,
): Promise<PeerListener> {
  const connections = new Set<Connection>();
  const server: Server = createServer((socket) => {
    const created = createConnection(socket, hello, {
      ...handlers,
      onClose(closed, err) {
        connections.delete(closed);
        handlers.onClose(closed, err);
      },
    });
    connections.add(created);
  });
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
