/**
 * Connections from this agent to the agents of other stages in its chains. A hop is the address and
 * incarnation of such an agent.
 */
import {
  createDialer, type Dialer, type Heartbeats, type LinkEvent,
  type TlsCredentials,
} from '@verbenashunt/wire';
import type { Clock } from '@verbenashunt/core';
import type { Hello, Hop, Message } from '@verbenashunt/schema';

/** Maximum number of messages that wait for a connection to open. */
const maxWaitingMessages = 1000;

/** Time without a sent message after which a link is closed, in milliseconds. */
const maxIdleMs = 60_000;

interface Link {
  node: string;
  dialer?: Dialer;
  waiting: Message[];
  lastUsedAt: number;
}

export interface Links {
  readonly size: number;
  /** Sends a message to a hop; connects first if there is no link to it. */
  send(hop: Hop, message: Message): void;
  close(): void;
}

export interface LinkOptions {
  clock: Clock;
  random: () => number;
  hello: () => Hello;
  heartbeats: Heartbeats;
  tls?: TlsCredentials | undefined;
  onLinkEvent(event: LinkEvent, err?: Error): void;
  onMessage(message: Message): void;
  /**
   * Called when messages to a node were dropped: its link was lost, it refused the connection, too
   * many messages waited for it, or it runs under another incarnation than the hop names.
   */
  onLost(node: string): void;
  /** Called after a reconnect to the same incarnation; messages in transit may be lost. */
  onResumed(node: string): void;
}

export function createLinks(options: LinkOptions): Links {
  const { clock } = options;
  const links = new Map<string, Link>();

  function onLinkLost(link: Link) {
    Object.assign(link, { waiting: [] });
    options.onLost(link.node);
  }

  function flush(link: Link) {
    const { waiting } = link;
    Object.assign(link, { waiting: [] });
    waiting.forEach((message) => link.dialer?.connection?.send(message));
  }

  function openLink(key: string, { node, host, port }: Hop): Link {
    const link: Link = { node, waiting: [], lastUsedAt: clock.now() };
    link.dialer = createDialer({
      node,
      host,
      port,
      clock,
      random: options.random,
      hello: options.hello,
      heartbeats: options.heartbeats,
      tls: options.tls,
      onLinkEvent(event, err) {
        options.onLinkEvent(event, err);
        if (event === 'refused' && link.waiting.length > 0) onLinkLost(link);
      },
      handlers: {
        onOpen: () => flush(link),
        onResumed() {
          options.onResumed(node);
          flush(link);
        },
        onMessage: (_, message) => options.onMessage(message),
        onClose: () => onLinkLost(link),
      },
    });
    links.set(key, link);
    return link;
  }

  function closeIdleLinks() {
    const before = clock.now() - maxIdleMs;
    [...links].filter(([, { lastUsedAt }]) => lastUsedAt < before).forEach(([key, { dialer }]) => {
      links.delete(key);
      dialer?.close();
    });
  }

  let cancelSweep = clock.after(maxIdleMs, function sweep() {
    closeIdleLinks();
    cancelSweep = clock.after(maxIdleMs, sweep);
  });

  return {
    get size() {
      return links.size;
    },
    send(hop, message) {
      const key = `${hop.node}@${hop.host}:${hop.port}`;
      const link = links.get(key) ?? openLink(key, hop);
      link.lastUsedAt = clock.now();
      const connection = link.dialer?.connection;
      if (connection && connection.peer.incarnation !== hop.incarnation) options.onLost(hop.node);
      else if (connection) connection.send(message);
      else if (link.waiting.length < maxWaitingMessages) link.waiting.push(message);
      else onLinkLost(link);
    },
    close() {
      cancelSweep();
      links.forEach(({ dialer }) => dialer?.close());
    },
  };
}
