/** Fake agents behind a fake dialer and a manual clock, to test the agent peers of an entry. */
import { ManualClock, PeerError } from '@verbenashunt/core';
import type { Message, TargetState, Vm } from '@verbenashunt/schema';
import { createAgentPeers } from '@verbenashunt/entry';
import type { Connection, Dialer, DialerOptions } from '@verbenashunt/wire';
import { helloOf } from './peers.js';

const retryMs = 1000;

export interface FakeAgent {
  vm: Vm;
  incarnation: number;
  reachable: boolean;
  state: TargetState;
  /** Messages that the entry sent to the agent. */
  received: Message[];
}

export const stateOf = (target: string, lo = 0, hi = 12): TargetState => ({
  target,
  kind: 'engine',
  fleet: 'armor-rankings',
  serving: true,
  draining: false,
  loaded: [{
    model: 'rankings', version: 'v1', lo, hi, layers: 12,
  }],
  load: { active: 0, queued: 0, limit: 10 },
});

/** Creates the agent peers of an entry, connected to fake agents. */
export function createFakeAgents(entryNode = 'entry-1', region = 'bzh-west') {
  const clock = new ManualClock();
  const agents = new Map<string, FakeAgent>();
  const links = new Map<string, { open(): void; breakConnection(): void }>();
  const dials = { count: 0 };
  const lost: string[] = [];

  const addressOf = ({ host, port }: { host: string; port: number }) => `${host}:${port}`;

  function dial({ handlers, onLinkEvent, ...options }: DialerOptions): Dialer {
    const address = addressOf(options);
    let connection: Connection | undefined;
    let closed = false;
    let cancel = () => {};

    function breakConnection() {
      if (!connection) return;
      const closedConnection = connection;
      connection = undefined;
      handlers.onClose(closedConnection, undefined);
      // eslint-disable-next-line @typescript-eslint/no-use-before-define -- mutual use
      if (!closed) cancel = clock.after(retryMs, open);
    }

    function open() {
      if (closed || connection) return;
      dials.count += 1;
      const agent = agents.get(address);
      if (!agent?.reachable || agent.vm.id !== options.node) {
        cancel = clock.after(retryMs, open);
        onLinkEvent?.('refused', new PeerError('no such agent is reachable at the address'));
        return;
      }
      connection = {
        peer: helloOf({
          node: agent.vm.id,
          zone: agent.vm.zone,
          region: agent.vm.region,
          incarnation: agent.incarnation,
          state: agent.state,
        }),
        open: true,
        lastReceivedAt: clock.now(),
        lastUsedAt: clock.now(),
        send: (message) => agent.received.push(message),
        close: breakConnection,
      };
      handlers.onOpen(connection);
    }

    const key = `${options.node}@${address}`;
    links.set(key, { open, breakConnection });
    cancel = clock.after(0, open);
    return {
      get connection() {
        return connection;
      },
      close() {
        closed = true;
        cancel();
        links.delete(key);
      },
    };
  }

  const peers = createAgentPeers({
    clock,
    random: () => 0.5,
    hello: () => helloOf({ role: 'entry', node: entryNode, region }),
    heartbeats: undefined as never,
    dial,
    onLinkEvent: () => {},
    onMessage: () => {},
    onOpen: () => {},
    onLost: (node) => lost.push(node),
    onResumed: () => {},
  });

  return {
    clock,
    peers,
    dials,
    lost,
    listVms: () => [...agents.values()].map(({ vm }) => vm),
    /** Adds an agent, or replaces the one at the same address. */
    setAgent(vm: Partial<Vm> & { id: string; port: number }, fields: Partial<FakeAgent> = {}) {
      const fullVm: Vm = {
        role: 'agent', zone: 'bzh-west-a', region: 'bzh-west', host: '127.0.0.1', state: 'live', ...vm,
      };
      const agent: FakeAgent = {
        vm: fullVm, incarnation: 1, reachable: true, state: stateOf(vm.id), received: [], ...fields,
      };
      agents.set(addressOf(fullVm), agent);
      return agent;
    },
    /** Breaks the connections to the matching agents; the dialer then retries. */
    cut(matches: (agent: FakeAgent) => boolean) {
      [...agents.values()].filter(matches)
        .forEach(({ vm }) => links.get(`${vm.id}@${addressOf(vm)}`)?.breakConnection());
    },
  };
}
