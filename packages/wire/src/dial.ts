/**
 * An outgoing link to one peer process, kept over successive connections. A connection that breaks
 * or goes silent is replaced by a new one. If the same incarnation of the peer answers there, the
 * link is resumed; otherwise the peer is lost.
 */
import {
  afterExcludingStalls, errorCode, PeerError, type CancelTimer, type Clock,
} from '@verbenashunt/core';
import type { Hello, Message, Ping } from '@verbenashunt/schema';
import { createConnection, type Connection, type ConnectionHandlers } from './connection.js';
import { createHeartbeats, type Heartbeats, type Watch } from './heartbeat.js';
import { connectToPeer, type TlsCredentials } from './tls.js';

const minRetryMs = 50;
const maxRetryMs = 2000;
const connectTimeoutMs = 1000;

/** Time in which a second connection must be up when the first is silent, in milliseconds. */
const probeTimeoutMs = 400;

/** Time after a disconnect in which the same incarnation can resume the link, in milliseconds. */
const resumeGraceMs = 400;

/** State changes of a link; also the values of a metric label. */
export type LinkEvent = 'up' | 'suspect' | 'resumed' | 'lost' | 'refused';

export interface DialerHandlers extends ConnectionHandlers {
  /**
   * Called when a new connection to the same incarnation has replaced one that broke or went
   * silent; messages in transit may be lost. Without this handler, `onClose` and `onOpen` are
   * called instead.
   */
  onResumed?(connection: Connection): void;
}

export interface Dialer {
  /** The connection in use; undefined while there is none. */
  readonly connection: Connection | undefined;
  close(): void;
}

export interface DialerOptions {
  host: string;
  port: number;
  /** Enables mutual TLS; without it the link is plain TCP. */
  tls?: TlsCredentials | undefined;
  /** Expected name of the peer's node; a peer with another name is rejected. */
  node?: string;
  clock: Clock;
  random: () => number;
  hello: () => Hello;
  /** Heartbeats shared by the process; without them the link creates its own. */
  heartbeats?: Heartbeats;
  /** Creates the ping message with sequence number `n`. */
  ping?: (n: number) => Ping;
  /** Called on each state change of the link, with the error that caused it. */
  onLinkEvent?: (event: LinkEvent, err?: Error) => void;
  handlers: DialerHandlers;
}

/** Whether the error proves that the peer no longer runs at the address. */
const isPeerAbsent = (err: Error | undefined) => err !== undefined
  && ['ECONNREFUSED', 'wrong_node'].includes(errorCode(err));

/** Keeps a link to an address, with jittered exponential backoff between connection attempts. */
export function createDialer(options: DialerOptions): Dialer {
  const { clock, handlers, onLinkEvent = () => {} } = options;
  const heartbeats = options.heartbeats ?? createHeartbeats({ clock });
  const ping = options.ping ?? ((n: number): Ping => ({ t: 'ping', n }));
  /** The connection in use. */
  let current: Connection | undefined;
  /** Last connection of a peer that is up or disconnected less than `resumeGraceMs` ago. */
  let resumable: Connection | undefined;
  /** The connection that is being established: it has no hello yet. */
  let pending: Connection | undefined;
  let watch: Watch | undefined;
  /** Time at which the current connection was found silent. */
  let suspectedAt: number | undefined;
  let stopped = false;
  let retryMs = minRetryMs;
  /** How often the peer was lost; sent to it as the session, which voids earlier work. */
  let lostCount = 0;
  let cancelRetry: CancelTimer = () => {};
  let cancelGrace: CancelTimer = () => {};

  const reject = ({ node }: Hello) => (options.node === undefined || options.node === node
    ? undefined
    : new PeerError(`node ${node} answered instead of ${options.node}`, { props: { code: 'wrong_node' } }));

  function declareLost(err: Error | undefined) {
    if (!resumable) return;
    const lost = resumable;
    const connection = current;
    lostCount += 1;
    resumable = undefined;
    current = undefined;
    suspectedAt = undefined;
    cancelGrace();
    watch?.stop();
    connection?.close(err);
    onLinkEvent('lost', err);
    handlers.onClose(lost, err);
  }

  /* eslint-disable @typescript-eslint/no-use-before-define -- a failed attempt starts the next */
  function scheduleRetry() {
    if (stopped) return;
    cancelRetry();
    const waitMs = resumable ? minRetryMs : retryMs * (0.5 + options.random());
    cancelRetry = clock.after(waitMs, () => dial(connectTimeoutMs));
    if (!resumable) retryMs = Math.min(maxRetryMs, retryMs * 2);
  }
  /** The second connection of a silent link failed: the peer is lost unless it sent data since. */
  function onProbeFailed(err: Error | undefined) {
    const hasReceived = current && suspectedAt !== undefined
      && current.lastReceivedAt > suspectedAt;
    suspectedAt = undefined;
    if (hasReceived && !isPeerAbsent(err)) return;
    declareLost(err);
    scheduleRetry();
  }

  function onConnectFailed(err: Error | undefined) {
    if (stopped) return;
    onLinkEvent('refused', err);
    if (current) {
      onProbeFailed(err);
      return;
    }
    if (isPeerAbsent(err)) declareLost(err);
    scheduleRetry();
  }

  function onDisconnected(err: Error | undefined) {
    current = undefined;
    watch?.stop();
    if (stopped) return;
    cancelGrace = afterExcludingStalls(clock, resumeGraceMs, () => declareLost(err));
    if (!pending) dial(connectTimeoutMs);
  }

  function onSuspect() {
    if (stopped || !current) return;
    suspectedAt = clock.now();
    onLinkEvent('suspect');
    if (!pending) dial(probeTimeoutMs);
  }
  /* eslint-enable @typescript-eslint/no-use-before-define */

  function onEstablished(connection: Connection) {
    const previous = resumable;
    const replaced = current;
    pending = undefined;
    suspectedAt = undefined;
    retryMs = minRetryMs;
    const isResumed = previous !== undefined
      && previous.peer.incarnation === connection.peer.incarnation
      && previous.peer.node === connection.peer.node;
    if (previous && !(isResumed && handlers.onResumed)) declareLost(undefined);
    cancelGrace();
    watch?.stop();
    current = connection;
    resumable = connection;
    replaced?.close();
    watch = heartbeats.ping(connection, ping, onSuspect);
    onLinkEvent(isResumed ? 'resumed' : 'up');
    if (isResumed && handlers.onResumed) handlers.onResumed(connection);
    else handlers.onOpen(connection);
  }

  function receive(connection: Connection, message: Message) {
    if (connection !== current) return;
    if (message.t === 'pong') watch?.pong(message.n);
    handlers.onMessage(connection, message);
  }

  function dial(helloTimeoutMs: number) {
    if (stopped || pending) return;
    cancelRetry();
    const socket = connectToPeer(options.host, options.port, options.tls);
    pending = createConnection(socket, {
      clock,
      hello: () => ({ ...options.hello(), session: lostCount }),
      helloTimeoutMs,
      reject,
      handlers: {
        onOpen: onEstablished,
        onMessage: receive,
        onClose(closed, err) {
          if (closed === pending) {
            pending = undefined;
            onConnectFailed(err);
          } else if (closed === current) onDisconnected(err);
        },
      },
    });
  }

  dial(connectTimeoutMs);
  return {
    get connection() {
      return current;
    },
    close() {
      stopped = true;
      cancelRetry();
      cancelGrace();
      watch?.stop();
      pending?.close();
      current?.close();
      if (!options.heartbeats) heartbeats.close();
    },
  };
}
