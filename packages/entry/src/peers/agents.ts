/**
 * Connections of this entry to agents. The platform's list of VMs names the agents to connect to;
 * whether an agent serves is decided by the state that it reports itself.
 */
import Emittery from 'emittery';
import {
  correctedActive, createAgentDirectory, ProtocolError, type AgentDirectory, type Clock,
  type StageCandidate, type SubsetOptions,
} from '@verbenashunt/core';
import type {
  Hello, Message, Vm, TargetState,
} from '@verbenashunt/schema';
import {
  createDialer, type Connection, type Dialer, type DialerOptions, type Heartbeats, type LinkEvent,
} from '@verbenashunt/wire';

/** Milliseconds before links are reconciled, so that several losses need only one run. */
const reconcileMs = 20;

export interface AgentPeer {
  node: string;
  zone: string;
  region: string;
  host: string;
  port: number;
  incarnation: number;
  /** Configuration revision that the agent last reported. */
  revision: number;
  state: TargetState;
  /** Number of requests of this entry that the agent holds. */
  own: number;
  /** Value of `own` when the agent last reported its load. */
  ownAtReport?: number;
  send(message: Message): void;
}

export interface AgentPeersEvents {
  /** Node of an agent whose link was opened. */
  up: string;
  /** Node of an agent whose link ended. */
  down: string;
}

export interface AgentPeers {
  readonly events: Emittery<AgentPeersEvents>;
  /** Number of agents known from the list, of links kept, and of links that are open. */
  readonly sizes: { listed: number; dialled: number; open: number };
  /** Applies the platform's list of VMs. */
  update(vms: readonly Vm[]): void;
  get(node: string): AgentPeer | undefined;
  list(): AgentPeer[];
  /** Agents that may get new work. */
  available(): AgentPeer[];
  /** Layer ranges of a model version that available agents have loaded. */
  candidates(model: string, version: string): StageCandidate[];
  broadcast(message: Message): void;
  close(): void;
}

export interface AgentPeersDeps {
  clock: Clock;
  random: () => number;
  hello: () => Hello;
  heartbeats: Heartbeats;
  /** Options for the subset of agents to connect to. */
  subset?: Partial<SubsetOptions>;
  dial?: (options: DialerOptions) => Dialer;
  /** Whether an operator has drained the target. */
  isDrained?(target: string): boolean;
  onLinkEvent(event: LinkEvent, err?: Error): void;
  onMessage(node: string, message: Message): void;
  onOpen(connection: Connection): void;
  /** The link to the agent ended; the requests that it held are lost. */
  onLost(node: string): void;
  /** A new connection to the same incarnation replaced one that was lost. */
  onResumed(node: string): void;
}

interface TrackedAgent {
  vm: Vm;
  dialer?: Dialer;
  peer?: AgentPeer | undefined;
  /** In the subset to connect to; other links are closed once they hold no requests. */
  selected: boolean;
}

const missingStateError = () => new ProtocolError('the hello of an agent is missing its state', { props: { code: 'bad_message' } });

function createPeer(vm: Vm, { peer, send }: Connection, state: TargetState): AgentPeer {
  return {
    node: vm.id,
    zone: peer.zone,
    region: peer.region,
    host: vm.host,
    port: vm.port,
    incarnation: peer.incarnation,
    revision: peer.revision,
    state,
    own: 0,
    ownAtReport: 0,
    send,
  };
}

const candidateOf = (peer: AgentPeer, share: number) => (
  { lo, hi }: { lo: number; hi: number },
): StageCandidate => ({
  node: peer.node,
  zone: peer.zone,
  region: peer.region,
  lo,
  hi,
  layerMs: peer.state.accelerator?.layerMsPerToken ?? 0,
  prefillMs: peer.state.accelerator?.layerMsPerPrefillToken ?? 0,
  active: correctedActive(peer.state.load.active, peer.ownAtReport ?? 0, peer.own),
  limit: Math.max(1, Math.floor(peer.state.load.limit * share)),
});

export function createAgentPeers(deps: AgentPeersDeps): AgentPeers {
  const { clock, dial = createDialer } = deps;
  const { node: self, region } = deps.hello();
  const events = new Emittery<AgentPeersEvents>();
  const directory: AgentDirectory = createAgentDirectory(
    { self, region, ...deps.subset },
    clock.now(),
  );
  const tracked = new Map<string, TrackedAgent>();
  let cancelReconcile: (() => void) | undefined;

  /** Notifies an agent that the platform's list marks its VM as leaving. */
  function notifyIfLeaving({ node, incarnation, send }: AgentPeer) {
    if (directory.isLeaving(node)) send({ t: 'leave', incarnation });
  }

  /* eslint-disable @typescript-eslint/no-use-before-define -- mutual recursion */
  function scheduleReconcile() {
    cancelReconcile ??= clock.after(reconcileMs, reconcile);
  }
  /* eslint-enable @typescript-eslint/no-use-before-define */

  function handleOpen(agent: TrackedAgent, connection: Connection) {
    const { state, incarnation } = connection.peer;
    if (!state) {
      connection.close(missingStateError());
      return;
    }
    const peer = createPeer(agent.vm, connection, state);
    Object.assign(agent, { peer });
    directory.markConnected(peer.node, state, incarnation, clock.now());
    deps.onOpen(connection);
    notifyIfLeaving(peer);
    scheduleReconcile();
    events.emit('up', peer.node);
  }

  function handleResumed({ peer }: TrackedAgent, connection: Connection) {
    const { state } = connection.peer;
    if (!peer || !state) {
      connection.close(missingStateError());
      return;
    }
    Object.assign(peer, { state, send: connection.send });
    directory.updateState(peer.node, state, clock.now());
    deps.onOpen(connection);
    notifyIfLeaving(peer);
    deps.onResumed(peer.node);
  }

  function handleMessage({ peer }: TrackedAgent, message: Message) {
    if (!peer) return;
    if (message.t === 'state') {
      Object.assign(peer, { state: message.state });
      directory.updateState(peer.node, peer.state, clock.now());
      scheduleReconcile();
    }
    if (message.t === 'pong' && message.revision !== undefined) {
      Object.assign(peer, { revision: message.revision });
    }
    if ('load' in message && message.load) {
      Object.assign(peer, {
        state: { ...peer.state, load: message.load }, ownAtReport: peer.own,
      });
    }
    deps.onMessage(peer.node, message);
  }

  function dropPeer(agent: TrackedAgent) {
    if (!agent.peer) return;
    Object.assign(agent, { peer: undefined });
    deps.onLost(agent.vm.id);
    events.emit('down', agent.vm.id);
  }

  function handleLost(agent: TrackedAgent) {
    directory.markDisconnected(agent.vm.id);
    dropPeer(agent);
    scheduleReconcile();
  }

  function track(vm: Vm) {
    const agent: TrackedAgent = { vm, selected: true };
    tracked.set(vm.id, agent);
    agent.dialer = dial({
      node: vm.id,
      host: vm.host,
      port: vm.port,
      clock,
      random: deps.random,
      hello: deps.hello,
      heartbeats: deps.heartbeats,
      ping: (n) => ({ t: 'ping', n, revision: deps.hello().revision }),
      onLinkEvent(event, err) {
        deps.onLinkEvent(event, err);
        if (event === 'refused' && directory.markUnreachable(vm.id, clock.now())) scheduleReconcile();
      },
      handlers: {
        onOpen: (connection) => handleOpen(agent, connection),
        onResumed: (connection) => handleResumed(agent, connection),
        onMessage: (_, message) => handleMessage(agent, message),
        onClose: () => handleLost(agent),
      },
    });
  }

  function untrack(agent: TrackedAgent) {
    tracked.delete(agent.vm.id);
    agent.dialer?.close();
    directory.markReleased(agent.vm.id, clock.now());
    dropPeer(agent);
  }

  const isCurrent = ({ vm, peer }: TrackedAgent, selectedVm: Vm | undefined) => peer !== undefined
    || (vm.host === selectedVm?.host && vm.port === selectedVm?.port);

  /** Connects to selected agents, and closes the links to others that hold no requests. */
  function reconcile() {
    cancelReconcile?.();
    cancelReconcile = undefined;
    const selected = directory.nodesToConnect(clock.now());
    tracked.forEach((agent) => Object.assign(agent, { selected: selected.has(agent.vm.id) }));
    [...tracked.values()].filter((agent) => !isCurrent(agent, selected.get(agent.vm.id))
      || (!agent.selected && !agent.peer?.own))
      .forEach(untrack);
    [...selected.values()].filter(({ id }) => !tracked.has(id)).forEach(track);
  }

  const list = () => [...tracked.values()].flatMap(({ peer }) => peer ?? []);
  const isAvailable = ({ node, state }: AgentPeer) => state.serving && !state.draining
    && tracked.get(node)!.selected && !directory.isLeaving(node)
    && !deps.isDrained?.(state.target);
  const available = () => list().filter(isAvailable);

  return {
    events,
    get sizes() {
      return { listed: directory.size, dialled: tracked.size, open: list().length };
    },
    update(vms) {
      directory.update(vms, clock.now());
      list().forEach(notifyIfLeaving);
      reconcile();
    },
    get: (node) => tracked.get(node)?.peer,
    list,
    available,
    candidates(model, version) {
      const now = clock.now();
      return available().flatMap((peer) => peer.state.loaded
        .filter((l) => l.model === model && l.version === version)
        .map(candidateOf(peer, directory.loadShare(peer.node, now))));
    },
    broadcast: (message) => list().forEach((peer) => peer.send(message)),
    close() {
      cancelReconcile?.();
      tracked.forEach(({ dialer }) => dialer?.close());
    },
  };
}
