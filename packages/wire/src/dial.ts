/** Outgoing connections that are made again after a loss. */
import { connect, type Socket } from 'node:net';
import type { Clock } from '@verbenashunt/core';
import type { Hello } from '@verbenashunt/schema';
import { createConnection, type Connection, type ConnectionHandlers } from './connection.js';

const minRetryMs = 50;
const maxRetryMs = 2000;
const connectTimeoutMs = 1000;

export interface Dialer {
  readonly connection: Connection | undefined;
  close(): void;
}

export interface DialerOptions {
  host: string;
  port: number;
  clock: Clock;
  random: () => number;
  hello: () => Hello;
  handlers: ConnectionHandlers;
}

/** Keeps one connection to an address, with jittered exponential backoff between tries. */
export function createDialer(options: DialerOptions): Dialer {
  const { clock, handlers } = options;
  let connection: Connection | undefined;
  let socket: Socket | undefined;
  let stopped = false;
  let retryMs = minRetryMs;
  let cancelRetry = () => {};

  function dial() {
    const dialed = connect({ host: options.host, port: options.port });
    socket = dialed;
    const cancelTimeout = clock.after(connectTimeoutMs, () => dialed.destroy());
    dialed.once('connect', cancelTimeout);
    createConnection(dialed, options.hello, {
      onOpen(opened) {
        connection = opened;
        retryMs = minRetryMs;
        handlers.onOpen(opened);
      },
      onMessage: handlers.onMessage,
      onClose(closed, err) {
        cancelTimeout();
        const wasOpen = connection === closed;
        connection = undefined;
        if (wasOpen) handlers.onClose(closed, err);
        if (stopped) return;
        cancelRetry = clock.after(retryMs * (0.5 + options.random()), dial);
        retryMs = Math.min(maxRetryMs, retryMs * 2);
      },
    });
  }

  dial();
  return {
    get connection() {
      return connection;
    },
    close() {
      stopped = true;
      cancelRetry();
      socket?.destroy();
    },
  };
}
