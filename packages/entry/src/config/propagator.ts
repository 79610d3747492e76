/**
 * Spreads revisions: reads the head of the table at a rate that does not grow with the fleet, and
 * passes every step forward to agents and to a few other entries.
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

/** Reads of the head per zone and poll time, shared by the zone's entries. */
const headReadsPerZone = 2;
/** Other entries that an entry dials. */
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
  /** Time in which the entries of a zone read the head `readsPerZone` times, in milliseconds. */
  pollMs: number;
  hello(): Hello;
  /** Sends to all agents. */
  broadcast(message: Message): void;
}

export interface ConfigPropagator {
  readonly port: number;
  /** Entries connected now. */
  readonly connectedEntries: number;
  /** Takes the platform's list: whom to dial, and how many share the reads. */
  update(vms: readonly Vm[]): void;
  /** Passes on the revision that this process has just adopted. */
  propagate(): void;
  close(): void;
}

/** The entries that a node dials: the first ones by rendezvous hash, the same after any order. */
export function choosePeerEntries(node: string, vms: readonly Vm[], count = maxPeerEntries): Vm[] {
  return vms.filter(({ role, id }) => role === 'entry' && id !== node)
    .map((vm) => ({ vm, weight: sha256(`${node} ${vm.id}`) }))
    .sort((a, b) => (a.weight < b.weight ? -1 : 1))
    .slice(0, count)
    .map(({ vm }) => vm);
}

/** Mean time between the reads of one entry, so that a zone's total stays the same. */
export function headPollIntervalMs(pollMs: number, entriesInZone: number): number {
  return pollMs * Math.max(1, entriesInZone / headReadsPerZone);
}

const addressOf = ({ host, port }: Vm) => `${host}:${port}`;

export async function createConfigPropagator(deps: ConfigPropagatorDeps): Promise<ConfigPropagator> {
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
      // Serving goes on with the revision in force; peers may bring a newer one.
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

  /** The text that leads from one revision to the next, for peers that are one behind. */
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
