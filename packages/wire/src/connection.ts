/** A peer connection: the hello handshake and the message exchange on one socket. */
import type { Socket } from 'node:net';
import {
  afterExcludingStalls, PeerError, ProtocolError, type Clock,
} from '@verbenashunt/core';
import type { Hello, Message } from '@verbenashunt/schema';
import {
  createFrameDecoder, encodeFrame, maxFrameBytes, maxHelloBytes,
} from './framing.js';
import { roleViolation } from './roles.js';

/** Version of the peer protocol; both ends must have the same. */
export const protocolVersion = 1;

/** Unsent bytes in a socket's write buffer above which the slow peer is disconnected. */
export const maxBacklogBytes = 2 * maxFrameBytes;

export interface ConnectionHandlers {
  /** Called when the peer's hello was accepted; messages may be sent from then on. */
  onOpen(connection: Connection): void;
  onMessage(connection: Connection, message: Message): void;
  /** Called once; `err` is undefined after an orderly close. */
  onClose(connection: Connection, err: Error | undefined): void;
}

export interface Connection {
  /** The peer's hello. Must not be read before `onOpen`: it is undefined until then. */
  readonly peer: Hello;
  readonly open: boolean;
  /** Monotonic time in milliseconds at which the last bytes were received. */
  readonly lastReceivedAt: number;
  /** Monotonic time in milliseconds of the last message, sent or received, excluding heartbeats. */
  readonly lastUsedAt: number;
  send(message: Message): void;
  close(err?: Error): void;
}

export interface ConnectionOptions {
  clock: Clock;
  hello: () => Hello;
  /** Time in which the peer's hello must arrive, in milliseconds. */
  helloTimeoutMs: number;
  /** Returns an error to reject the peer, or undefined to accept it. */
  reject?: (peer: Hello) => Error | undefined;
  handlers: ConnectionHandlers;
}

const handshakeError = (code: string, text: string) => new ProtocolError(text, { props: { code } });

function checkHello(message: Message): Error | undefined {
  if (message.t !== 'hello') return handshakeError('wrong_first_frame', `the first message must be hello, got ${message.t}`);
  if (message.version === protocolVersion) return undefined;
  return handshakeError('wrong_version', `unsupported protocol version ${message.version}`);
}

const isHandshakeOrHeartbeat = ({ t }: Message) => t === 'ping' || t === 'pong' || t === 'hello';

/**
 * Runs the peer protocol on a socket: sends a hello at once, waits for the peer's hello, then
 * passes messages. Messages sent in one event loop iteration are combined into one write.
 */
export function createConnection(socket: Socket, options: ConnectionOptions): Connection {
  const { clock, handlers } = options;
  let peer: Hello | undefined;
  let closeError: Error | undefined;
  let lastReceivedAt = clock.now();
  let lastUsedAt = Number.MIN_SAFE_INTEGER;
  let corked = false;
  const decoder = createFrameDecoder(() => (peer ? maxFrameBytes : maxHelloBytes));

  function flush() {
    corked = false;
    socket.uncork();
  }

  function close(err?: Error) {
    closeError ??= err;
    socket.destroy();
  }

  /** Closes only this connection when the callback throws a ProtocolError. */
  function closeOnProtocolError(callback: () => void) {
    try {
      callback();
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
    closeOnProtocolError(() => socket.write(encodeFrame(message)));
    if (!isHandshakeOrHeartbeat(message)) lastUsedAt = clock.now();
    if (socket.writableLength <= maxBacklogBytes) return;
    close(new PeerError(`${socket.writableLength} bytes are unsent because the peer reads too slowly`, { props: { code: 'peer_slow' } }));
  }

  const connection: Connection = {
    get peer() {
      return peer!;
    },
    get open() {
      return peer !== undefined && !socket.destroyed;
    },
    get lastReceivedAt() {
      return lastReceivedAt;
    },
    get lastUsedAt() {
      return lastUsedAt;
    },
    send: write,
    close,
  };

  const cancelHelloTimeout = afterExcludingStalls(clock, options.helloTimeoutMs, () => close(
    new PeerError('the peer sent no hello in time', { props: { code: 'hello_timeout' } }),
  ));

  function receiveHello(message: Message) {
    const error = checkHello(message) ?? options.reject?.(message as Hello);
    if (error) {
      close(error);
      return;
    }
    cancelHelloTimeout();
    peer = message as Hello;
    handlers.onOpen(connection);
  }

  function receive(message: Message) {
    if (socket.destroyed) return;
    if (!peer) {
      receiveHello(message);
      return;
    }
    const error = roleViolation(peer.role, message);
    if (error) {
      close(error);
      return;
    }
    if (!isHandshakeOrHeartbeat(message)) lastUsedAt = lastReceivedAt;
    handlers.onMessage(connection, message);
  }

  socket.setNoDelay(true);
  socket.on('data', (chunk: Buffer) => {
    lastReceivedAt = clock.now();
    closeOnProtocolError(() => decoder.push(chunk, receive));
  });
  socket.on('error', (err) => {
    closeError ??= err;
  });
  socket.on('close', () => {
    cancelHelloTimeout();
    handlers.onClose(connection, closeError);
  });
  write(options.hello());
  return connection;
}
