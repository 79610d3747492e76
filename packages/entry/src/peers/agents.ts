/** The agents of this entry: candidates by the platform's list, serving by their own word. */
import Emittery from 'emittery';
import { ProtocolError, type Clock, type StageCandidate } from '@verbenashunt/core';
import type {
  Hello, Message, Vm, TargetState,
} from '@verbenashunt/schema';
import {
  createDialer, type Connection, type Dialer, type Heartbeats, type LinkEvent,
} from '@verbenashunt/wire';

export interface AgentPeer {
  node: string;
  zone: string;
  region: string;
  host: string;
  port: number;
  incarnation: number;
  state: TargetState;
  /** Requests of this entry that the agent holds. */
  own: number;
  send(message: Message): void;
}

export interface AgentPeersEvents {
  up: string;
  down: string;
}

export interface AgentPeers {
  readonly events: Emittery<AgentPeersEvents>;
  /** Dials new VMs and lets go of those that are no longer listed. */
  update(vms: readonly Vm[]): void;
  get(node: string): AgentPeer | undefined;
  list(): AgentPeer[];
  /** Targets that serve a model version, as candidates for a stage. */
  candidates(model: string, version: string): StageCandidate[];
  broadcast(message: Message): void;
  close(): void;
}

export interface AgentPeersDeps {
  clock: Clock;
  random: () => number;
  hello: () => Hello;
  heartbeats: Heartbeats;
  count(event: LinkEvent, err?: Error): void;
  onMessage(node: string, message: Message): void;
  onOpen(connection: Connection): void;
  /** The agent is gone, with what it held. */
  onLost(node: string): void;
  /** A new connection to the same incarnation replaced one that broke. */
  onResumed(node: string): void;
}

interface Tracked {
  dialer: Dialer;
  vm: Vm;
  peer?: AgentPeer | undefined;
}

export function createAgentPeers(deps: AgentPeersDeps): AgentPeers {
  const events = new Emittery<AgentPeersEvents>();
  const tracked = new Map<string, Tracked>();

  const noState = () => new ProtocolError('an agent said no state', { props: { code: 'bad_message' } });

  function opened(entry: Tracked, connection: Connection) {
    const { peer } = connection;
    if (!peer.state) {
      connection.close(noState());
      return;
    }
    const { vm } = entry;
    Object.assign(entry, {
      peer: {
        node: vm.id,
        zone: peer.zone,
        region: peer.region,
        host: vm.host,
        port: vm.port,
        incarnation: peer.incarnation,
        state: peer.state,
        own: 0,
        send: connection.send,
      },
    });
    deps.onOpen(connection);
    events.emit('up', vm.id);
  }

  function resumed(entry: Tracked, connection: Connection) {
    const { peer } = entry;
    const { state } = connection.peer;
    if (!peer || !state) {
      connection.close(noState());
      return;
    }
    Object.assign(peer, { state, send: connection.send });
    deps.onOpen(connection);
    deps.onResumed(peer.node);
  }

  function received(entry: Tracked, message: Message) {
    const { peer } = entry;
    if (!peer) return;
    if (message.t === 'state') peer.state = message.state;
    if ('load' in message && message.load) peer.state = { ...peer.state, load: message.load };
    deps.onMessage(peer.node, message);
  }

  function lost(entry: Tracked) {
    if (!entry.peer) return;
    Object.assign(entry, { peer: undefined });
    deps.onLost(entry.vm.id);
    events.emit('down', entry.vm.id);
  }

  function track(vm: Vm) {
    const entry = { vm } as Tracked;
    entry.dialer = createDialer({
      node: vm.id,
      host: vm.host,
      port: vm.port,
      clock: deps.clock,
      random: deps.random,
      hello: deps.hello,
      heartbeats: deps.heartbeats,
      ping: (n) => ({ t: 'ping', n, revision: deps.hello().revision }),
      count: deps.count,
      handlers: {
        onOpen: (connection) => opened(entry, connection),
        onResumed: (connection) => resumed(entry, connection),
        onMessage: (_, message) => received(entry, message),
        onClose: () => lost(entry),
      },
    });
    tracked.set(vm.id, entry);
  }

  function untrack(id: string, entry: Tracked) {
    tracked.delete(id);
    entry.dialer.close();
    lost(entry);
  }

  const sameAddress = (a: Vm, b: Vm | undefined) => a.host === b?.host && a.port === b.port;
  const list = () => [...tracked.values()].flatMap(({ peer }) => peer ?? []);

  return {
    events,
    update(vms) {
      const listed = new Map(vms.filter(({ role }) => role === 'agent').map((vm) => [vm.id, vm]));
      [...tracked].filter(([id, { vm, peer }]) => !sameAddress(vm, listed.get(id)) && !peer?.own)
        .forEach(([id, entry]) => untrack(id, entry));
      [...listed.values()].filter(({ id }) => !tracked.has(id)).forEach(track);
      tracked.forEach((entry, id) => Object.assign(entry, { vm: listed.get(id) ?? entry.vm }));
    },
    get: (node) => tracked.get(node)?.peer,
    list,
    candidates(model, version) {
      return list().filter(({ state }) => state.serving && !state.draining)
        .flatMap(({ state, own, ...peer }) => state.loaded
          .filter((l) => l.model === model && l.version === version)
          .map((l) => ({
            node: peer.node,
            zone: peer.zone,
            region: peer.region,
            lo: l.lo,
            hi: l.hi,
            layerMs: state.accelerator?.layerMsPerToken ?? 0,
            active: Math.max(own, state.load.active),
            limit: state.load.limit,
          })));
    },
    broadcast: (message) => list().forEach((peer) => peer.send(message)),
    close: () => tracked.forEach(({ dialer }) => dialer.close()),
  };
}
