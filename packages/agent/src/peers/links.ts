/** Connections from this agent to the next stages of its chains. */
import {
  createDialer, type Dialer, type Heartbeats, type LinkEvent,
  type TlsCredentials,
} from '@verbenashunt/wire';
import type { Clock } from '@verbenashunt/core';
import type { Hello, Hop, Message } from '@verbenashunt/schema';

/** Messages held for a hop whose connection is not open yet. */
const maxWaiting = 1000;

/** Time without a message after which a link is closed, in milliseconds. */
const maxUnusedMs = 60_000;

interface Link {
  node: string;
  dialer?: Dialer;
  waiting: Message[];
  usedAt: number;
}

export interface Links {
  readonly size: number;
  /** Sends to a hop, dialling it first when needed. */
  send(hop: Hop, message: Message): void;
  close(): void;
}

export interface LinkOptions {
  clock: Clock;
  random: () => number;
  hello: () => Hello;
  heartbeats: Heartbeats;
  tls?: TlsCredentials | undefined;
  count(event: LinkEvent, err?: Error): void;
  onMessage(message: Message): void;
  /** The hop is gone with what it held, or could not take more. */
  onLost(node: string): void;
  /** A new connection to the same incarnation; what was on the way may be lost. */
  onResumed(node: string): void;
}

export function createLinks(options: LinkOptions): Links {
  const { clock } = options;
  const links = new Map<string, Link>();

  function lost(link: Link) {
    Object.assign(link, { waiting: [] });
    options.onLost(link.node);
  }

  function flush(link: Link) {
    const { waiting } = link;
    Object.assign(link, { waiting: [] });
    waiting.forEach((message) => link.dialer?.connection?.send(message));
  }

  function open(key: string, { node, host, port }: Hop): Link {
    const link: Link = { node, waiting: [], usedAt: clock.now() };
    link.dialer = createDialer({
      node,
      host,
      port,
      clock,
      random: options.random,
      hello: options.hello,
      heartbeats: options.heartbeats,
      tls: options.tls,
      count(event, err) {
        options.count(event, err);
        if (event === 'refused' && link.waiting.length > 0) lost(link);
      },
      handlers: {
        onOpen: () => flush(link),
        onResumed() {
          options.onResumed(node);
          flush(link);
        },
        onMessage: (_, message) => options.onMessage(message),
        onClose: () => lost(link),
      },
    });
    links.set(key, link);
    return link;
  }

  function closeUnused() {
    const before = clock.now() - maxUnusedMs;
    [...links].filter(([, { usedAt }]) => usedAt < before).forEach(([key, { dialer }]) => {
      links.delete(key);
      dialer?.close();
    });
  }

  let cancelSweep = clock.after(maxUnusedMs, function sweep() {
    closeUnused();
    cancelSweep = clock.after(maxUnusedMs, sweep);
  });

  return {
    get size() {
      return links.size;
    },
    send(hop, message) {
      const key = `${hop.node}@${hop.host}:${hop.port}`;
      const link = links.get(key) ?? open(key, hop);
      link.usedAt = clock.now();
      const connection = link.dialer?.connection;
      if (connection && connection.peer.incarnation !== hop.incarnation) options.onLost(hop.node);
      else if (connection) connection.send(message);
      else if (link.waiting.length < maxWaiting) link.waiting.push(message);
      else lost(link);
    },
    close() {
      cancelSweep();
      links.forEach(({ dialer }) => dialer?.close());
    },
  };
}
