/** A port for a server that can't choose one itself. */
import { createServer, type AddressInfo } from 'node:net';

/** Resolves to a port of 127.0.0.1 that is free now. */
export async function freePort(): Promise<number> {
  const server = createServer().listen(0, '127.0.0.1');
  await new Promise((resolve) => {
    server.once('listening', resolve);
  });
  const { port } = server.address() as AddressInfo;
  await new Promise((resolve) => {
    server.close(resolve);
  });
  return port;
}
