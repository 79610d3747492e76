/**
 * Propagates configuration revisions: polls the head in the table service at a rate that does not
 * grow with the number of entries, and sends each new revision to agents and a few other entries.
 */
import type {
  Clock, ConfigHolder, ConfigSynchronizer, SendMessage,
} from '@verbenashunt/core';
import { sha256 } from '@verbenashunt/core';
import type { Hello, Message, Vm } from '@verbenashunt/schema';
import {
  createDialer, listenForPeers, type Connection, type Dialer, type Heartbeats,
} from '@verbenashunt/wire';
import type { ConfigStore } from './store.js';

/** Reads of the head per zone and poll interval, shared by the entries of the zone. */
const headReadsPerZone = 2;
/** Number of other entries that an entry connects to. */
const maxPeerEntries = 3;

export interface ConfigPropagatorDeps {
  clock: Clock;
  random: () => number;
  config: ConfigHolder;
  synchronizer: ConfigSynchronizer;
  store: Pick<ConfigStore, 'catchUp'>;
  heartbeats: Heartbeats;
  node: string;
  zone: string;
  host: string;
  peerPort: number;
  /** Milliseconds in which the entries of a zone read the head `headReadsPerZone` times. */
  pollMs: number;
  hello(): Hello;
  /** Sends a message to all connected agents. */
  broadcast(message: Message): void;
}

export interface ConfigPropagator {
  readonly port: number;
  /** Number of connections to other entries. */
  readonly connectedEntries: number;
  /**
   * Applies the platform's list of VMs, which determines the entries to connect to and the number
   * of entries that share the reads of the head.
   */
  update(vms: readonly Vm[]): void;
  /** Sends the revision in force, which has just been adopted, to agents and other entries. */
  propagate(): void;
  close(): void;
}

/** Chooses the entries that a node connects to by rendezvous hashing of their ids. */
export function choosePeerEntries(node: string, vms: readonly Vm[], count = maxPeerEntries): Vm[] {
  return vms.filter(({ role, id }) => role === 'entry' && id !== node)
    .map((vm) => ({ vm, weight: sha256(`${node} ${vm.id}`) }))
    .sort((a, b) => (a.weight < b.weight ? -1 : 1))
    .slice(0, count)
    .map(({ vm }) => vm);
}

/**
 * Mean interval in milliseconds between the reads of one entry. It grows with the number of entries
 * so that the total rate of a zone stays constant.
 */
export function headPollIntervalMs(pollMs: number, entriesInZone: number): number {
  return pollMs * Math.max(1, entriesInZone / headReadsPerZone);
}

const addressOf = ({ host, port }: Vm) => `${host}:${port}`;

export async function createConfigPropagator(
  deps: ConfigPropagatorDeps,
): Promise<ConfigPropagator> {
  const { clock, config, synchronizer } = deps;
  const peerRevisions = new Map<Connection, number>();
  const dialers = new Map<string, Dialer>();
  let entriesInZone = 1;
  let closed = false;
  let cancelPoll = () => {};

  const handlers = {
    onOpen(connection: Connection) {
      peerRevisions.set(connection, connection.peer.revision);
      synchronizer.onPeerRevision(connection.peer.revision, connection.send);
    },
    onMessage(connection: Connection, message: Message) {
      if ('revision' in message && message.revision !== undefined) {
        peerRevisions.set(connection, message.revision);
      }
      if (message.t === 'ping') connection.send({ t: 'pong', n: message.n, revision: config.revision });
      synchronizer.receive(message, connection.send);
    },
    onClose(connection: Connection) {
      peerRevisions.delete(connection);
    },
  };

  async function poll() {
    await deps.store.catchUp().catch(() => {
      // Requests are still served with the revision in force; peers may send a newer one.
    });
    if (closed) return;
    const jitter = 0.5 + deps.random();
    cancelPoll = clock.after(headPollIntervalMs(deps.pollMs, entriesInZone) * jitter, poll);
  }

  function dial(vm: Vm) {
    dialers.set(addressOf(vm), createDialer({
      host: vm.host,
      port: vm.port,
      node: vm.id,
      clock,
      random: deps.random,
      hello: deps.hello,
      heartbeats: deps.heartbeats,
      ping: (n) => ({ t: 'ping', n, revision: config.revision }),
      handlers,
    }));
  }

  const listener = await listenForPeers(deps.host, deps.peerPort, deps.hello, handlers, {
    clock, heartbeats: deps.heartbeats,
  });
  await poll();

  /** Sends the newest record; a peer that is more than one revision behind requests the others. */
  const sendNewestRecord = (send: SendMessage) => send({
    t: 'config', revision: config.revision, record: config.record!,
  });

  return {
    port: listener.port,
    get connectedEntries() {
      return peerRevisions.size;
    },
    update(vms) {
      const inZone = vms.filter(({ id, role, zone }) => role === 'entry' && zone === deps.zone && id !== deps.node);
      entriesInZone = inZone.length + 1;
      const chosen = new Map(choosePeerEntries(deps.node, vms).map((vm) => [addressOf(vm), vm]));
      [...dialers].filter(([address]) => !chosen.has(address)).forEach(([address, dialer]) => {
        dialer.close();
        dialers.delete(address);
      });
      [...chosen].filter(([address]) => !dialers.has(address)).forEach(([, vm]) => dial(vm));
    },
    propagate() {
      peerRevisions.forEach((revision, connection) => {
        if (revision < config.revision) sendNewestRecord(connection.send);
      });
      sendNewestRecord(deps.broadcast);
    },
    close() {
      closed = true;
      cancelPoll();
      dialers.forEach((dialer) => dialer.close());
      listener.close();
    },
  };
}
