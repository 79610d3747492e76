/** One TCP connection between two processes of the system, after its hello frames. */
import type { Socket } from 'node:net';
import type { Hello, Message } from '@verbenashunt/schema';
import { createFrameDecoder, encodeFrame } from './framing.js';

/** Version of the protocol between the system's own processes. */
export const protocolVersion = 1;

/** Bytes waiting in a socket after which a peer counts as too slow and is cut off. */
const maxBacklogBytes = 64 * 1024 * 1024;

export interface ConnectionHandlers {
  /** The peer's hello arrived; frames may be sent from here on. */
  onOpen(connection: Connection): void;
  onMessage(connection: Connection, message: Message): void;
  /** Called once; `err` tells why when the close was not orderly. */
  onClose(connection: Connection, err: Error | undefined): void;
}

export interface Connection {
  /** The peer's hello; throws before it arrived. */
  readonly peer: Hello;
  readonly open: boolean;
  /** Monotonic milliseconds of the last byte received. */
  readonly heardAt: number;
  send(message: Message): void;
  close(err?: Error): void;
}

/**
 * Runs the protocol on a socket: sends `hello` at once, waits for the peer's, then passes messages.
 * Messages sent in one turn of the loop leave in one write.
 */
export function createConnection(
  socket: Socket,
  hello: () => Hello,
  handlers: ConnectionHandlers,
): Connection {
  const decoder = createFrameDecoder();
  let peer: Hello | undefined;
  let reason: Error | undefined;
  let heardAt = performance.now();
  let corked = false;

  function flush() {
    corked = false;
    socket.uncork();
  }

  function write(message: Message) {
    if (socket.destroyed) return;
    if (!corked) {
      corked = true;
      socket.cork();
      setImmediate(flush);
    }
    socket.write(encodeFrame(message));

    // eslint-disable-next-line @typescript-eslint/no-use-before-define -- each refers to the other
    if (socket.writableLength > maxBacklogBytes) connection.close();
  }

  const connection: Connection = {
    get peer() {
      return peer!;
    },
    get open() {
      return peer !== undefined && !socket.destroyed;
    },
    get heardAt() {
      return heardAt;
    },
    send: write,
    close(err) {
      reason ??= err;
      socket.destroy();
    },
  };

  function receive(message: Message) {
    if (peer) {
      handlers.onMessage(connection, message);
    } else if (message.t === 'hello' && message.version === protocolVersion) {
      peer = message;
      handlers.onOpen(connection);
    } else {
      connection.close();
    }
  }

  socket.setNoDelay(true);
  socket.on('data', (chunk: Buffer) => {
    heardAt = performance.now();
    try {
      decoder.push(chunk).forEach(receive);
    } catch (err) {
      connection.close(err as Error);
    }
  });
  socket.on('error', (err) => {
    reason ??= err;
  });
  socket.on('close', () => handlers.onClose(connection, reason));
  write(hello());
  return connection;
}
