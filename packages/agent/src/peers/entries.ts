/** Connections of entries to this agent, and the detection of lost entries. */
import { ProtocolError, type Clock } from '@verbenashunt/core';
import type { Message } from '@verbenashunt/schema';
import type { Connection } from '@verbenashunt/wire';

/** Time that an entry's work is kept after its last connection closed, in milliseconds. */
const entryGraceMs = 3000;

export interface EntryPeers {
  readonly size: number;
  /**
   * Returns a function that sends to the newest connection of the entry behind `connection`, so
   * that replies still arrive after a reconnect.
   */
  replyTo(connection: Connection): (message: Message) => void;
  onOpen(connection: Connection): void;
  onClose(connection: Connection, err: Error | undefined): void;
  broadcast(message: Message): void;
}

export interface EntryPeersDeps {
  clock: Clock;
  /**
   * Called when the work of an entry must be freed: the entry did not reconnect in time, was
   * restarted, or had declared this agent lost.
   */
  onLost(entry: string): void;
  onProtocolError(): void;
}

interface EntryPeer {
  incarnation: number;
  /** How often the entry has declared this agent lost. */
  session: number;
  /** Open connections, the newest last. */
  connections: Connection[];
}

export function createEntryPeers(deps: EntryPeersDeps): EntryPeers {
  const entries = new Map<string, EntryPeer>();

  const newestConnection = (entry: string) => entries.get(entry)?.connections.at(-1);

  function expire(entry: string, peer: EntryPeer) {
    if (entries.get(entry) !== peer || peer.connections.length > 0) return;
    entries.delete(entry);
    deps.onLost(entry);
  }

  return {
    get size() {
      return entries.size;
    },
    replyTo: (connection) => (message) => {
      (newestConnection(connection.peer.node) ?? connection).send(message);
    },
    onOpen(connection) {
      const {
        role, node, incarnation, session = 0,
      } = connection.peer;
      if (role !== 'entry') return;
      const peer = entries.get(node);
      if (peer?.incarnation === incarnation && peer.session === session) {
        peer.connections.push(connection);
        return;
      }
      if (peer && peer.incarnation > incarnation) {
        connection.close(new ProtocolError('an older incarnation of an entry', { props: { code: 'old_incarnation' } }));
        return;
      }
      entries.set(node, { incarnation, session, connections: [connection] });
      if (!peer) return;
      deps.onLost(node);
      peer.connections.forEach((old) => old.close());
    },
    onClose(connection, err) {
      if (err instanceof ProtocolError) deps.onProtocolError();
      const peer = connection.peer && entries.get(connection.peer.node);
      if (!peer?.connections.includes(connection)) return;
      peer.connections = peer.connections.filter((other) => other !== connection);
      if (peer.connections.length > 0) return;
      deps.clock.after(entryGraceMs, () => expire(connection.peer.node, peer));
    },
    broadcast(message) {
      entries.forEach(({ connections }) => connections.at(-1)?.send(message));
    },
  };
}
