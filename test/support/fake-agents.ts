/** Agents behind a fake dialler, for tests of an entry's view with passed-in time. */
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
  told: Message[];
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

/** An entry's peers over fake agents; `set` adds or replaces one, `cut` ends its links. */
export function createFakeAgents(self = 'entry-1', region = 'bzh-west') {
  const clock = new ManualClock();
  const agents = new Map<string, FakeAgent>();
  const links = new Map<string, { open(): void; lose(): void }>();
  const dials = { count: 0 };
  const lost: string[] = [];

  const addressOf = ({ host, port }: { host: string; port: number }) => `${host}:${port}`;

  function dial({ handlers, count, ...options }: DialerOptions): Dialer {
    const address = addressOf(options);
    let connection: Connection | undefined;
    let closed = false;
    let cancel = () => {};

    function lose() {
      if (!connection) return;
      const gone = connection;
      connection = undefined;
      handlers.onClose(gone, undefined);
      // eslint-disable-next-line @typescript-eslint/no-use-before-define -- each calls the other
      if (!closed) cancel = clock.after(retryMs, open);
    }

    function open() {
      if (closed || connection) return;
      dials.count += 1;
      const agent = agents.get(address);
      if (!agent?.reachable || agent.vm.id !== options.node) {
        cancel = clock.after(retryMs, open);
        count?.('refused', new PeerError('not there'));
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
        send: (message) => agent.told.push(message),
        close: lose,
      };
      handlers.onOpen(connection);
    }

    const key = `${options.node}@${address}`;
    links.set(key, { open, lose });
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
    hello: () => helloOf({ role: 'entry', node: self, region }),
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
    list: () => [...agents.values()].map(({ vm }) => vm),
    set(vm: Partial<Vm> & { id: string; port: number }, fields: Partial<FakeAgent> = {}) {
      const whole: Vm = {
        role: 'agent', zone: 'bzh-west-a', region: 'bzh-west', host: '127.0.0.1', state: 'live', ...vm,
      };
      const agent: FakeAgent = {
        vm: whole, incarnation: 1, reachable: true, state: stateOf(vm.id), told: [], ...fields,
      };
      agents.set(addressOf(whole), agent);
      return agent;
    },
    /** Ends the links of agents that are no longer reachable or were replaced. */
    cut(chosen: (agent: FakeAgent) => boolean) {
      [...agents.values()].filter(chosen)
        .forEach(({ vm }) => links.get(`${vm.id}@${addressOf(vm)}`)?.lose());
    },
  };
}
