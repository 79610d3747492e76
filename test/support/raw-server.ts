/** A server that answers with bytes of the test's choice, and records the requests as received. */
import { createServer, type AddressInfo, type Socket } from 'node:net';

export interface RawServer {
  /** IP:PORT. */
  readonly address: string;
  /** Text of the requests; with one request on a connection at a time, one entry for each. */
  readonly requests: readonly string[];
  close(): void;
}

/** Calls `answer` with the whole text received since the last answer, at each part that arrives. */
export async function startRawServer(
  answer: (socket: Socket, request: string) => void,
): Promise<RawServer> {
  const sockets = new Set<Socket>();
  const requests: string[] = [];
  const server = createServer((socket) => {
    let index: number | undefined;
    sockets.add(socket);
    socket.once('close', () => sockets.delete(socket));
    socket.on('error', () => {}).on('data', (data) => {
      index ??= requests.push('') - 1;
      requests[index] += data.toString('latin1');
      const { bytesWritten } = socket;
      answer(socket, requests[index]!);
      if (socket.bytesWritten > bytesWritten) index = undefined;
    });
  });
  await new Promise<void>((resolve) => {
    server.listen(0, '127.0.0.1', resolve);
  });
  return {
    address: `127.0.0.1:${(server.address() as AddressInfo).port}`,
    requests,
    close() {
      sockets.forEach((socket) => socket.destroy());
      server.close();
    },
  };
}
