/** Checks by a TCP connection whether a process listens at an address. */
import { connect } from 'node:net';

/** Number of parallel attempts, so that one lost packet does not make a peer unreachable. */
const connectionAttempts = 2;

const canConnect = (address: string, timeoutMs: number) => new Promise<boolean>(
  (resolve) => {
    const [host, port] = address.split(':');
    const socket = connect({ host: host!, port: Number(port) });
    const timer = setTimeout(() => socket.destroy(), timeoutMs);
    let hasConnected = false;
    socket.once('connect', () => {
      hasConnected = true;
      socket.destroy();
    });
    // `close` follows and settles the promise; which error it was does not matter.
    socket.once('error', () => {});
    socket.once('close', () => {
      clearTimeout(timer);
      resolve(hasConnected);
    });
  },
);

/**
 * Whether `address` (IP:PORT) accepts a connection within `timeoutMs`; it is closed at once. False
 * for an address that is not valid, which comes from a row of the store or an answer of a target.
 */
export async function acceptsConnection(address: string, timeoutMs: number): Promise<boolean> {
  const results = await Promise.all(Array.from(
    { length: connectionAttempts },
    () => canConnect(address, timeoutMs).catch(() => false),
  ));
  return results.includes(true);
}
