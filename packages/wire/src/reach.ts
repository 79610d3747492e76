/** Whether a process listens at an address, as far as a connection tells. */
import { connect } from 'node:net';

/** Connections at once, so that one lost packet makes no peer dead. */
const connections = 2;

const opens = (address: string, timeoutMs: number) => new Promise<boolean>(
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

/** Whether IP:PORT takes a connection within `timeoutMs`; connections are closed at once. */
export async function takesConnection(address: string, timeoutMs: number): Promise<boolean> {
  const opened = await Promise.all(Array.from(
    { length: connections },
    () => opens(address, timeoutMs),
  ));
  return opened.includes(true);
}
