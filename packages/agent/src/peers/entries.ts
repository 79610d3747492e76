/** The entries that are connected to this agent, and what is freed when one is gone. */
import { ProtocolError, type Clock } from '@verbenashunt/core';
import type { Message } from '@verbenashunt/schema';
import type { Connection } from '@verbenashunt/wire';

/** Time that an entry's work is kept after its connection was lost, in milliseconds. */
const entryGraceMs = 3000;

export interface EntryPeers {
  readonly size: number;
  /** Sends to the entry's newest connection, so that answers survive a reconnect. */
  replyTo(connection: Connection): (message: Message) => void;
  opened(connection: Connection): void;
  closed(connection: Connection, err: Error | undefined): void;
  broadcast(message: Message): void;
}

export interface EntryPeersDeps {
  clock: Clock;
  /**
   * What the entry began is void: it did not come back in time, it came back as another process,
   * or it had given up this agent.
   */
  onLost(entry: string): void;
  onProtocolError(): void;
}

interface EntryPeer {
  incarnation: number;
  /** How often the entry has given up this agent. */
  session: number;
  /** Open connections, the newest last. */
  connections: Connection[];
}

export function createEntryPeers(deps: EntryPeersDeps): EntryPeers {
  const entries = new Map<string, EntryPeer>();

  const newest = (entry: string) => entries.get(entry)?.connections.at(-1);

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
      (newest(connection.peer.node) ?? connection).send(message);
    },
    opened(connection) {
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
    closed(connection, err) {
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
