/** Resets connections, and tells a reset from an orderly end. */
import type { Socket } from 'node:net';
import { TLSSocket } from 'node:tls';

/**
 * Ends a connection so that its peer can't take the end for that of the message: closed in order,
 * it would mark the end of one that has neither a length nor chunks. With TLS the missing closing
 * alert shows the same.
 */
export function abortConnection(socket: Socket) {
  if (socket instanceof TLSSocket) socket.destroy();
  else socket.resetAndDestroy();
}

/**
 * Whether a connection whose end is being reported was reset. Node reports a reset that arrives
 * together with data as an orderly end, but the connection then has no peer any more. The first use
 * of `remoteAddress` must be this one, as Node keeps its value.
 */
export const wasReset = (socket: Socket): boolean => socket.remoteAddress === undefined;
