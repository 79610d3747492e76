/** Limits the open connections of a server, so that those without requests make room for others. */
import type { Server } from 'node:http';
import type { Socket } from 'node:net';
import { isAnswerDue, refuseInput, type ConnectionState } from './connection-state.js';
import { chooseToClose } from './connection-choice.js';

/** Connections over the limit that still get a refusal as response; the rest are closed. */
export const maxRefusedConnections = 128;

export interface ConnectionLimitOptions {
  maxConnections: number;
  isTls: boolean;
  /** Open connections on which requests can arrive. */
  connections: ReadonlyMap<Socket, ConnectionState>;
}

const addressOf = ({ remoteAddress, remotePort }: Socket) => `${remoteAddress}:${remotePort}`;

/**
 * Starts to limit the connections of a server. Returns a function that tells whether a new one, not
 * in `connections` yet, is over the limit; TLS connections count from before their handshakes.
 */
export function limitConnections(
  server: Server,
  { maxConnections, isTls, connections }: ConnectionLimitOptions,
): (socket: Socket) => boolean {
  /** Connections whose TLS handshakes are not complete, by the addresses of their clients. */
  const handshakes = new Map<string, { socket: Socket; startedAt: number }>();

  function closeHandshake(now: number): boolean {
    const chosen = chooseToClose([...handshakes.values()].map(({ socket, startedAt }) => [
      socket, { lastProgressAt: startedAt, isAnswerDue: false },
    ] as const), now);
    chosen?.destroy();
    return chosen !== undefined;
  }

  /** Closes the connection that has been without progress for longest, if any may be closed. */
  function makeRoom() {
    const now = performance.now();
    if (closeHandshake(now)) return;
    const socket = chooseToClose([...connections].map(([open, state]) => [
      open, { lastProgressAt: state.lastProgressAt, isAnswerDue: isAnswerDue(state) },
    ] as const), now);
    if (!socket) return;
    const state = connections.get(socket)!;
    if (state.hasPartialHead() || state.pending.size > 0) refuseInput('too_many_connections', socket, state);
    // Closes the connection once the refusal, if there is one, has been sent.
    socket.destroySoon();
  }

  const isFull = () => connections.size + handshakes.size >= maxConnections;

  server.on('drop', makeRoom);
  if (isTls) {
    server.on('connection', (socket: Socket) => {
      if (isFull()) makeRoom();
      const address = addressOf(socket);
      handshakes.set(address, { socket, startedAt: performance.now() });
      socket.once('close', () => handshakes.delete(address));
    });
  }

  return (socket) => {
    handshakes.delete(addressOf(socket));
    if (isFull()) makeRoom();
    return isFull();
  };
}
