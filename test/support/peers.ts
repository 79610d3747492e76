/** Listening and dialing peers for tests of links. */
import { errorCode, SystemClock } from '@verbenashunt/core';
import type { Hello } from '@verbenashunt/schema';
import {
  createDialer, createHeartbeats, listenForPeers, type Connection, type DialerOptions,
} from '@verbenashunt/wire';

export const helloOf = (fields: Partial<Hello> = {}): Hello => ({
  t: 'hello',
  version: 1,
  role: 'agent',
  node: 'agent-1',
  zone: 'bzh-west-a',
  region: 'bzh-west',
  incarnation: 1,
  revision: 0,
  ...fields,
});

/** Starts a listener that answers pings and records what it receives. */
export async function startPeer(fields: Partial<Hello> = {}, port = 0) {
  const receivedTypes: string[] = [];
  const errors: string[] = [];
  const connections: Connection[] = [];
  const listener = await listenForPeers('127.0.0.1', port, () => helloOf(fields), {
    onOpen: (connection) => connections.push(connection),
    onMessage(connection, message) {
      receivedTypes.push(message.t);
      if (message.t === 'ping') connection.send({ t: 'pong', n: message.n });
    },
    onClose(_, err) {
      if (err) errors.push(errorCode(err));
    },
  });
  return {
    ...listener, port: listener.port, receivedTypes, errors, connections,
  };
}

/** Opens a link that records its events and errors. */
export function dialPeer(port: number, options: Partial<DialerOptions> = {}) {
  const clock = new SystemClock();
  const events: string[] = [];
  const errors: string[] = [];
  const heartbeats = createHeartbeats({ clock });
  const dialer = createDialer({
    host: '127.0.0.1',
    port,
    node: 'agent-1',
    clock,
    random: () => 0.5,
    heartbeats,
    hello: () => helloOf({ role: 'entry', node: 'entry-1' }),
    onLinkEvent(_, err) {
      if (err) errors.push(errorCode(err));
    },
    handlers: {
      onOpen: ({ peer }) => events.push(`up ${peer.incarnation}`),
      onResumed: ({ peer }) => events.push(`resumed ${peer.incarnation}`),
      onMessage: () => {},
      onClose: ({ peer }) => events.push(`lost ${peer.incarnation}`),
    },
    ...options,
  });
  return {
    events,
    errors,
    get connection() {
      return dialer.connection;
    },
    close() {
      dialer.close();
      heartbeats.close();
    },
  };
}
