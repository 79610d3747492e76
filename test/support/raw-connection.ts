/** A caller's connection on which a test writes bytes at times of its choice. */
import { connect, type Socket } from 'node:net';

export interface RawConnection {
  readonly socket: Socket;
  /** All bytes received so far. */
  readonly received: string;
  /** Whether the peer has ended or reset the connection; its own side stays open. */
  readonly isEnded: boolean;
  write(text: string): void;
}

export function openRaw(port: number): RawConnection {
  const socket = connect({
    host: '127.0.0.1', port, noDelay: true, allowHalfOpen: true,
  });
  let received = '';
  let isEnded = false;
  socket.setEncoding('latin1').on('data', (text) => {
    received += String(text);
  });
  const end = () => {
    isEnded = true;
  };
  socket.on('error', end).on('end', end);
  return {
    socket,
    get received() {
      return received;
    },
    get isEnded() {
      return isEnded;
    },
    write: (text) => socket.write(text, 'latin1'),
  };
}
