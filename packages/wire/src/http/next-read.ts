/** Waits until the event loop has read its sockets, before a request or connection is judged. */
import type { Socket } from 'node:net';

/**
 * Limit on the reads in which bytes that have already arrived are waited for. Each takes up to
 * 64 KiB from a connection, so that the limit covers a full receive buffer.
 */
const maxReads = 128;

/**
 * Resolves after the event loop has read the connections once more. Timers run before that, so
 * after a standstill of the process they can't know what has arrived meanwhile.
 */
export const afterNextRead = () => new Promise<void>((resolve) => {
  // In a callback of a read, the first `setImmediate` still runs in the current turn of the loop.
  setImmediate(() => setImmediate(resolve));
});

/** Resolves once the bytes of a connection that have already arrived were read. */
export async function afterArrivedBytes(socket: Socket, readsLeft = maxReads): Promise<void> {
  const { bytesRead } = socket;
  await afterNextRead();
  if (socket.bytesRead > bytesRead && readsLeft > 1) await afterArrivedBytes(socket, readsLeft - 1);
}
