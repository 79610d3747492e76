/** A TCP link that a test cuts and heals. */
import {
  connect, createServer, type AddressInfo, type Socket,
} from 'node:net';

export interface TestLink {
  port: number;
  /** Ends all connections and takes no new ones. */
  cut(): void;
  heal(): void;
  close(): void;
}

export async function createTestLink(targetPort: number): Promise<TestLink> {
  const sockets = new Set<Socket>();
  let isCut = false;
  const server = createServer((near) => {
    if (isCut) {
      near.destroy();
      return;
    }
    const far = connect(targetPort, '127.0.0.1');
    [near, far].forEach((socket) => {
      sockets.add(socket);
      socket.on('error', () => {});
      socket.on('close', () => {
        sockets.delete(socket);
        near.destroy();
        far.destroy();
      });
    });
    near.pipe(far).pipe(near);
  });
  await new Promise<void>((resolve) => {
    server.listen(0, '127.0.0.1', resolve);
  });
  const endAll = () => sockets.forEach((socket) => socket.destroy());
  return {
    port: (server.address() as AddressInfo).port,
    cut() {
      isCut = true;
      endAll();
    },
    heal() {
      isCut = false;
    },
    close() {
      endAll();
      server.close();
    },
  };
}
