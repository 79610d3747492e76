/** One TCP connection between two processes of the system, after its hello frames. */
import type { Socket } from 'node:net';
import {
  afterExcludingStalls, PeerError, ProtocolError, type Clock,
} from '@verbenashunt/core';
import type { Hello, Message } from '@verbenashunt/schema';
import {
  createFrameDecoder, encodeFrame, maxFrameBytes, maxHelloBytes,
} from './framing.js';
import { foreignMessage } from './roles.js';

/** Version of the protocol between the system's own processes. */
export const protocolVersion = 1;

/** Bytes waiting in a socket after which a peer counts as too slow and is cut off. */
export const maxBacklogBytes = 2 * maxFrameBytes;

export interface ConnectionHandlers {
  /** The peer's hello arrived; frames may be sent from here on. */
  onOpen(connection: Connection): void;
  onMessage(connection: Connection, message: Message): void;
  /** Called once; `err` tells why when the close was not orderly. */
  onClose(connection: Connection, err: Error | undefined): void;
}

export interface Connection {
  /** The peer's hello; undefined before it arrived. */
  readonly peer: Hello;
  readonly open: boolean;
  /** Monotonic milliseconds of the last byte received. */
  readonly heardAt: number;
  /** Monotonic milliseconds of the last message, either way, that was more than a ping. */
  readonly usedAt: number;
  send(message: Message): void;
  close(err?: Error): void;
}

export interface ConnectionOptions {
  clock: Clock;
  hello: () => Hello;
  /** Longest wait for the peer's hello in milliseconds. */
  helloTimeoutMs: number;
  /** Why this peer is not to be spoken to; undefined admits it. */
  reject?: (peer: Hello) => Error | undefined;
  handlers: ConnectionHandlers;
}

const wrongFirst = (code: string, text: string) => new ProtocolError(text, { props: { code } });

function faultOf(message: Message): Error | undefined {
  if (message.t !== 'hello') return wrongFirst('wrong_first_frame', `first frame is ${message.t}`);
  if (message.version === protocolVersion) return undefined;
  return wrongFirst('wrong_version', `peer speaks version ${message.version}`);
}

const isLiveness = ({ t }: Message) => t === 'ping' || t === 'pong' || t === 'hello';

/**
 * Runs the protocol on a socket: sends its hello at once, waits for the peer's, then passes
 * messages. Messages sent in one turn of the loop leave in one write.
 */
export function createConnection(socket: Socket, options: ConnectionOptions): Connection {
  const { clock, handlers } = options;
  let peer: Hello | undefined;
  let reason: Error | undefined;
  let heardAt = clock.now();
  let usedAt = Number.MIN_SAFE_INTEGER;
  let corked = false;
  const decoder = createFrameDecoder(() => (peer ? maxFrameBytes : maxHelloBytes));

  function flush() {
    corked = false;
    socket.uncork();
  }

  function close(err?: Error) {
    reason ??= err;
    socket.destroy();
  }

  /** Runs frame code; a frame that breaks the protocol ends this connection alone. */
  function guard(work: () => void) {
    try {
      work();
    } catch (err) {
      if (!(err instanceof ProtocolError)) throw err;
      close(err);
    }
  }

  function write(message: Message) {
    if (socket.destroyed) return;
    if (!corked) {
      corked = true;
      socket.cork();
      setImmediate(flush);
    }
    guard(() => socket.write(encodeFrame(message)));
    if (!isLiveness(message)) usedAt = clock.now();
    if (socket.writableLength <= maxBacklogBytes) return;
    close(new PeerError(`${socket.writableLength} bytes wait for the peer`, { props: { code: 'peer_slow' } }));
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
    get usedAt() {
      return usedAt;
    },
    send: write,
    close,
  };

  const cancelHelloTimeout = afterExcludingStalls(clock, options.helloTimeoutMs, () => close(
    new PeerError('the peer said no hello in time', { props: { code: 'hello_timeout' } }),
  ));

  function greet(message: Message) {
    const fault = faultOf(message) ?? options.reject?.(message as Hello);
    if (fault) {
      close(fault);
      return;
    }
    cancelHelloTimeout();
    peer = message as Hello;
    handlers.onOpen(connection);
  }

  function receive(message: Message) {
    if (socket.destroyed) return;
    if (!peer) {
      greet(message);
      return;
    }
    const fault = foreignMessage(peer.role, message);
    if (fault) {
      close(fault);
      return;
    }
    if (!isLiveness(message)) usedAt = heardAt;
    handlers.onMessage(connection, message);
  }

  socket.setNoDelay(true);
  socket.on('data', (chunk: Buffer) => {
    heardAt = clock.now();
    guard(() => decoder.push(chunk, receive));
  });
  socket.on('error', (err) => {
    reason ??= err;
  });
  socket.on('close', () => {
    cancelHelloTimeout();
    handlers.onClose(connection, reason);
  });
  write(options.hello());
  return connection;
}
