/**
 * An outgoing link to one peer process. A connection that breaks or goes silent is replaced by a
 * new one: when the same incarnation answers there, the link is resumed, else the peer is lost.
 */
import {
  afterExcludingStalls, errorCode, PeerError, type CancelTimer, type Clock,
} from '@verbenashunt/core';
import type { Hello, Message, Ping } from '@verbenashunt/schema';
import { createConnection, type Connection, type ConnectionHandlers } from './connection.js';
import { createHeartbeats, type Heartbeats, type Watch } from './heartbeat.js';
import { connectToPeer, type TlsMaterial } from './tls.js';

const minRetryMs = 50;
const maxRetryMs = 2000;
const connectTimeoutMs = 1000;

/** Longest wait for the second connection when the first is silent, in milliseconds. */
const probeTimeoutMs = 400;

/** Time after a reset in which the same incarnation may still resume, in milliseconds. */
const resumeGraceMs = 400;

/** Changes of a link, as metric labels. */
export type LinkEvent = 'up' | 'suspect' | 'resumed' | 'lost' | 'refused';

export interface DialerHandlers extends ConnectionHandlers {
  /**
   * A new connection to the same incarnation replaced one that broke or went silent; frames on
   * the way may be lost. Without this handler a resume is told as a close and an open.
   */
  onResumed?(connection: Connection): void;
}

export interface Dialer {
  readonly connection: Connection | undefined;
  close(): void;
}

export interface DialerOptions {
  host: string;
  port: number;
  /** Speaks TLS with this. */
  tls?: TlsMaterial | undefined;
  /** Node name that must answer; another one is not admitted. */
  node?: string;
  clock: Clock;
  random: () => number;
  hello: () => Hello;
  /** The process's ticker; without one the link makes its own. */
  heartbeats?: Heartbeats;
  ping?: (n: number) => Ping;
  /** Counts changes of the link's state and errors of its connections. */
  count?: (event: LinkEvent, err?: Error) => void;
  handlers: DialerHandlers;
}

/** Whether the address answered for certain that the peer is not there. */
const isAbsent = (err: Error | undefined) => err !== undefined
  && ['ECONNREFUSED', 'wrong_node'].includes(errorCode(err));

/** Keeps one connection to an address, with jittered exponential backoff between tries. */
export function createDialer(options: DialerOptions): Dialer {
  const { clock, handlers, count = () => {} } = options;
  const heartbeats = options.heartbeats ?? createHeartbeats({ clock });
  const ping = options.ping ?? ((n: number): Ping => ({ t: 'ping', n }));
  /** The connection in use. */
  let live: Connection | undefined;
  /** The peer that is up, or that broke less than a grace time ago. */
  let known: Connection | undefined;
  /** A connection that waits for its hello. */
  let trial: Connection | undefined;
  let watch: Watch | undefined;
  let suspectedAt: number | undefined;
  let stopped = false;
  let retryMs = minRetryMs;
  let session = 0;
  let cancelRetry: CancelTimer = () => {};
  let cancelGrace: CancelTimer = () => {};

  const reject = ({ node }: Hello) => (options.node === undefined || options.node === node
    ? undefined
    : new PeerError(`node ${node} answers for ${options.node}`, { props: { code: 'wrong_node' } }));

  function lose(err: Error | undefined) {
    if (!known) return;
    const gone = known;
    const open = live;
    session += 1;
    known = undefined;
    live = undefined;
    suspectedAt = undefined;
    cancelGrace();
    watch?.stop();
    open?.close(err);
    count('lost', err);
    handlers.onClose(gone, err);
  }

  /* eslint-disable @typescript-eslint/no-use-before-define -- a failure begins the next try */
  function retry() {
    if (stopped) return;
    cancelRetry();
    const waitMs = known ? minRetryMs : retryMs * (0.5 + options.random());
    cancelRetry = clock.after(waitMs, () => dial(connectTimeoutMs));
    if (!known) retryMs = Math.min(maxRetryMs, retryMs * 2);
  }
  /** The second connection of a silent link failed: the peer is lost unless it was heard since. */
  function probed(err: Error | undefined) {
    const heard = live && suspectedAt !== undefined && live.heardAt > suspectedAt;
    suspectedAt = undefined;
    if (heard && !isAbsent(err)) return;
    lose(err);
    retry();
  }

  function failed(err: Error | undefined) {
    if (stopped) return;
    count('refused', err);
    if (live) {
      probed(err);
      return;
    }
    if (isAbsent(err)) lose(err);
    retry();
  }

  function broke(err: Error | undefined) {
    live = undefined;
    watch?.stop();
    if (stopped) return;
    cancelGrace = afterExcludingStalls(clock, resumeGraceMs, () => lose(err));
    if (!trial) dial(connectTimeoutMs);
  }

  function suspect() {
    if (stopped || !live) return;
    suspectedAt = clock.now();
    count('suspect');
    if (!trial) dial(probeTimeoutMs);
  }
  /* eslint-enable @typescript-eslint/no-use-before-define */

  function adopt(connection: Connection) {
    const old = known;
    const replaced = live;
    trial = undefined;
    suspectedAt = undefined;
    retryMs = minRetryMs;
    const resumed = old !== undefined && old.peer.incarnation === connection.peer.incarnation
      && old.peer.node === connection.peer.node;
    if (old && !(resumed && handlers.onResumed)) lose(undefined);
    cancelGrace();
    watch?.stop();
    live = connection;
    known = connection;
    replaced?.close();
    watch = heartbeats.ping(connection, ping, suspect);
    count(resumed ? 'resumed' : 'up');
    if (resumed && handlers.onResumed) handlers.onResumed(connection);
    else handlers.onOpen(connection);
  }

  function receive(connection: Connection, message: Message) {
    if (connection !== live) return;
    if (message.t === 'pong') watch?.pong(message.n);
    handlers.onMessage(connection, message);
  }

  function dial(helloTimeoutMs: number) {
    if (stopped || trial) return;
    cancelRetry();
    const socket = connectToPeer(options.host, options.port, options.tls);
    trial = createConnection(socket, {
      clock,
      hello: () => ({ ...options.hello(), session }),
      helloTimeoutMs,
      reject,
      handlers: {
        onOpen: adopt,
        onMessage: receive,
        onClose(closed, err) {
          if (closed === trial) {
            trial = undefined;
            failed(err);
          } else if (closed === live) broke(err);
        },
      },
    });
  }

  dial(connectTimeoutMs);
  return {
    get connection() {
      return live;
    },
    close() {
      stopped = true;
      cancelRetry();
      cancelGrace();
      watch?.stop();
      trial?.close();
      live?.close();
      if (!options.heartbeats) heartbeats.close();
    },
  };
}
