/** Ends a connection so that its peer can't take the end for that of the message. */
import type { Socket } from 'node:net';
import { TLSSocket } from 'node:tls';

/**
 * Resets a TCP connection: closed in order, it would mark the end of a message that has neither a
 * length nor chunks. With TLS the missing closing alert shows the same.
 */
export function abortConnection(socket: Socket) {
  if (socket instanceof TLSSocket) socket.destroy();
  else socket.resetAndDestroy();
}
