/** Whether a process listens at an address, as far as a connection tells. */
import { connect } from 'node:net';

/** Whether IP:PORT takes a connection within `timeoutMs`; the connection is closed at once. */
export const takesConnection = (address: string, timeoutMs: number) => new Promise<boolean>(
  (resolve) => {
    const [host, port] = address.split(':');
    const socket = connect({ host: host!, port: Number(port) });
    const timer = setTimeout(() => socket.destroy(), timeoutMs);
    let isOpen = false;
    socket.once('connect', () => {
      isOpen = true;
      socket.destroy();
    });
    // The cause makes no difference; `close` follows.
    socket.once('error', () => {});
    socket.once('close', () => {
      clearTimeout(timer);
      resolve(isOpen);
    });
  },
);
