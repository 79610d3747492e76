/** Agents in the bench's own process: they say a state, answer pings and make up tokens. */
import type { Message, TargetState, Vm } from '@verbenashunt/schema';
import { listenForPeers, type Connection, type PeerListener } from '@verbenashunt/wire';

const layers = 12;

export interface FakeAgents {
  readonly vms: Vm[];
  /** Links open now. */
  readonly open: number;
  /** Links opened since the start. */
  readonly opened: number;
  /** Messages received, by type. */
  readonly messages: Map<string, number>;
  /** Whether answers are kept open instead of sending tokens. */
  hold(value: boolean): void;
  add(count: number, modelOf: (i: number) => string, name?: string): Promise<void>;
  /** Ends all links, as a restart of every agent would. */
  cutAll(): void;
  close(): void;
}

const stateOf = (node: string, model: string): TargetState => ({
  target: `t-${node}`,
  kind: 'engine',
  fleet: 'bench',
  serving: true,
  draining: false,
  loaded: [{
    model, version: 'v1', lo: 0, hi: layers, layers,
  }],
  load: { active: 0, queued: 0, limit: 100_000 },
  accelerator: {
    kind: 'fake', layerMsPerToken: 1, layerMsPerPrefillToken: 1, memoryLayers: layers,
  },
});

export function createFakeAgents(): FakeAgents {
  const vms: Vm[] = [];
  const listeners: PeerListener[] = [];
  const links = new Set<Connection>();
  const messages = new Map<string, number>();
  const wanted = new Map<string, number>();
  const fake = { hold: false, opened: 0 };

  /** Sends all tokens of an answer, one each turn of the loop. */
  function answer(connection: Connection, req: string, attempt: number) {
    const count = wanted.get(req) ?? 1;
    let seq = 0;
    const next = () => {
      connection.send({
        t: 'token', req, attempt, seq, token: 65,
      });
      seq += 1;
      if (seq < count) {
        setTimeout(next, 1);
        return;
      }
      wanted.delete(req);
      connection.send({
        t: 'end', req, attempt, count, reason: 'length',
      });
    };
    next();
  }

  function receive(connection: Connection, message: Message) {
    messages.set(message.t, (messages.get(message.t) ?? 0) + 1);
    if (message.t === 'ping') connection.send({ t: 'pong', n: message.n });
    if (message.t === 'offer') {
      wanted.set(message.req, message.maxTokens);
      connection.send({ t: 'accept', req: message.req, attempt: message.attempt });
    }
    if (message.t === 'start' && !fake.hold) answer(connection, message.req, message.attempt);
  }

  async function listen(node: string, model: string) {
    const listener = await listenForPeers('127.0.0.1', 0, () => ({
      t: 'hello', version: 1, role: 'agent', node, zone: 'z-a', region: 'r-a', incarnation: 1, revision: 0, state: stateOf(node, model),
    }), {
      onOpen(connection) {
        fake.opened += 1;
        links.add(connection);
      },
      onMessage: receive,
      onClose: (connection) => links.delete(connection),
    });
    listeners.push(listener);
    vms.push({
      id: node, role: 'agent', zone: 'z-a', region: 'r-a', host: '127.0.0.1', port: listener.port, state: 'live',
    });
  }

  return {
    vms,
    messages,
    get open() {
      return links.size;
    },
    get opened() {
      return fake.opened;
    },
    hold(value) {
      fake.hold = value;
    },
    async add(count, modelOf, name = 'a') {
      const from = vms.length;
      await Promise.all(Array.from({ length: count }, (_, i) => (
        listen(`${name}-${from + i}`, modelOf(from + i)))));
    },
    cutAll: () => links.forEach((link) => link.close()),
    close: () => listeners.forEach((listener) => listener.close()),
  };
}
