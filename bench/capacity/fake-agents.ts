/** Simulated agents in this process: they report a state, answer pings and send constant tokens. */
import type { Message, TargetState, Vm } from '@verbenashunt/schema';
import { listenForPeers, type Connection, type PeerListener } from '@verbenashunt/wire';

const layers = 12;

export interface FakeAgents {
  readonly vms: Vm[];
  /** Number of open connections. */
  readonly openCount: number;
  /** Number of connections opened since the start. */
  readonly openedCount: number;
  /** Number of received messages by type. */
  readonly receivedByType: Map<string, number>;
  /** Whether the agents hold new requests open and send no tokens for them. */
  setHolding(value: boolean): void;
  add(count: number, modelOf: (i: number) => string, name?: string): Promise<void>;
  /** Closes all connections, as a restart of every agent would. */
  closeAll(): void;
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
  const receivedByType = new Map<string, number>();
  const maxTokensByRequest = new Map<string, number>();
  const state = { holding: false, opened: 0 };

  /** Sends the tokens of an answer one by one, each from its own timer. */
  function sendTokens(connection: Connection, req: string, attempt: number) {
    const count = maxTokensByRequest.get(req) ?? 1;
    let seq = 0;
    const sendNext = () => {
      connection.send({
        t: 'token', req, attempt, seq, token: 65,
      });
      seq += 1;
      if (seq < count) {
        setTimeout(sendNext, 1);
        return;
      }
      maxTokensByRequest.delete(req);
      connection.send({
        t: 'end', req, attempt, count, reason: 'length',
      });
    };
    sendNext();
  }

  function receive(connection: Connection, message: Message) {
    receivedByType.set(message.t, (receivedByType.get(message.t) ?? 0) + 1);
    if (message.t === 'ping') connection.send({ t: 'pong', n: message.n });
    if (message.t === 'offer') {
      maxTokensByRequest.set(message.req, message.maxTokens);
      connection.send({ t: 'accept', req: message.req, attempt: message.attempt });
    }
    if (message.t === 'start' && !state.holding) sendTokens(connection, message.req, message.attempt);
  }

  async function listen(node: string, model: string) {
    const listener = await listenForPeers('127.0.0.1', 0, () => ({
      t: 'hello', version: 1, role: 'agent', node, zone: 'z-a', region: 'r-a', incarnation: 1, revision: 0, state: stateOf(node, model),
    }), {
      onOpen(connection) {
        state.opened += 1;
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
    receivedByType,
    get openCount() {
      return links.size;
    },
    get openedCount() {
      return state.opened;
    },
    setHolding(value) {
      state.holding = value;
    },
    async add(count, modelOf, name = 'a') {
      const from = vms.length;
      await Promise.all(Array.from({ length: count }, (_, i) => (
        listen(`${name}-${from + i}`, modelOf(from + i)))));
    },
    closeAll: () => links.forEach((link) => link.close()),
    close: () => listeners.forEach((listener) => listener.close()),
  };
}
