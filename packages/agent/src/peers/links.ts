/** Connections from this agent to the next stages of its chains. */
import { createDialer, type Dialer } from '@verbenashunt/wire';
import type { Clock } from '@verbenashunt/core';
import type { Hello, Hop, Message } from '@verbenashunt/schema';

/** Messages held for a hop whose connection is not open yet. */
const maxWaiting = 1000;

interface Link {
  dialer: Dialer;
  waiting: Message[];
}

export interface Links {
  /** Sends to a hop, dialling it first when needed. */
  send(hop: Hop, message: Message): void;
  close(): void;
}

export interface LinkOptions {
  clock: Clock;
  random: () => number;
  hello: () => Hello;
  onMessage(message: Message): void;
  /** A connection broke, or a hop could not take more; what was on the way may be lost. */
  onLost(node: string): void;
}

export function createLinks(options: LinkOptions): Links {
  const links = new Map<string, Link>();

  function open({ node, host, port }: Hop): Link {
    const link: Link = { waiting: [] } as unknown as Link;
    link.dialer = createDialer({
      host,
      port,
      clock: options.clock,
      random: options.random,
      hello: options.hello,
      handlers: {
        onOpen(connection) {
          link.waiting.forEach((message) => connection.send(message));
          link.waiting = [];
        },
        onMessage: (_, message) => options.onMessage(message),
        onClose: () => options.onLost(node),
      },
    });
    links.set(`${host}:${port}`, link);
    return link;
  }

  return {
    send(hop, message) {
      const link = links.get(`${hop.host}:${hop.port}`) ?? open(hop);
      const { connection } = link.dialer;
      if (connection) connection.send(message);
      else if (link.waiting.length < maxWaiting) link.waiting.push(message);
      else options.onLost(hop.node);
    },
    close() {
      links.forEach(({ dialer }) => dialer.close());
    },
  };
}
