/** Resource use of an agent by connected entries, tokens, accepted requests and reconnects. */
import { SystemClock } from '@verbenashunt/core';
import type { Message, Offer } from '@verbenashunt/schema';
import { waitFor } from '@verbenashunt/stand-ins';
import {
  createDialer, createHeartbeats, type Connection, type Dialer, type Heartbeats,
} from '@verbenashunt/wire';
import { mapInSequence } from './entry-series.js';
import { measureCost, measureRates, sleep } from './process-stats.js';
import { seriesOf, type Series } from './series.js';

const windowMs = 3000;
const settleMs = 1000;
/** Simulated entries that share one heartbeat timer. */
const entriesPerHeartbeats = 10;

export interface AgentUnderTest {
  pid: number;
  peerPort: number;
}

interface FakeEntries {
  /** Number of open connections to the agent. */
  readonly openCount: number;
  /** The connection of the first entry. */
  connection(): Connection;
  add(count: number): void;
  /** Replaces the listener for messages from the agent. */
  onMessage(listener: (message: Message) => void): void;
  /** Closes all connections; the dialers then reconnect. */
  closeAll(): void;
  close(): void;
}

function createFakeEntries(peerPort: number): FakeEntries {
  const clock = new SystemClock();
  const dialers: Dialer[] = [];
  const heartbeats: Heartbeats[] = [];
  let messageListener: (message: Message) => void = () => {};

  function dial(i: number) {
    if (i % entriesPerHeartbeats === 0) heartbeats.push(createHeartbeats({ clock }));
    dialers.push(createDialer({
      host: '127.0.0.1',
      port: peerPort,
      clock,
      random: () => 0.5,
      heartbeats: heartbeats.at(-1)!,
      hello: () => ({
        t: 'hello', version: 1, role: 'entry', node: `e-${i}`, zone: 'z-a', region: 'r-a', incarnation: 1, revision: 0,
      }),
      handlers: {
        onOpen: () => {},
        onResumed: () => {},
        onMessage: (_, message) => messageListener(message),
        onClose: () => {},
      },
    }));
  }

  return {
    get openCount() {
      return dialers.filter(({ connection }) => connection).length;
    },
    connection: () => dialers[0]!.connection!,
    add: (count) => Array.from({ length: count }, (_, i) => dialers.length + i).forEach(dial),
    onMessage(listener) {
      messageListener = listener;
    },
    closeAll: () => dialers.forEach(({ connection }) => connection?.close()),
    close() {
      dialers.forEach((dialer) => dialer.close());
      heartbeats.forEach((timer) => timer.close());
    },
  };
}

function offerOf(connection: Connection, req: string, maxTokens: number): Offer {
  const { node, incarnation, revision } = connection.peer;
  return {
    t: 'offer',
    req,
    attempt: 0,
    incarnation,
    revision,
    org: 'org-0',
    cls: 'chat',
    model: 'own',
    version: 'v1',
    range: { lo: 0, hi: 12 },
    index: 0,
    stages: 1,
    next: {
      node, host: '127.0.0.1', port: 1, incarnation,
    },
    entry: 'e-0',
    timeLeftMs: 60_000,
    priority: 5,
    maxTokens,
    promptTokens: 4,
  };
}

async function byEntries({ pid }: AgentUnderTest, entries: FakeEntries): Promise<Series[]> {
  const rows = await mapInSequence([10, 25, 54, 100], async (x) => {
    entries.add(x - entries.openCount);
    await waitFor(`${x} entries`, async () => entries.openCount >= x, 30_000);
    await sleep(settleMs);
    const rates = await measureRates(pid, windowMs);
    return {
      x, values: { cpu: rates.cpuMsPerSecond, bytes: rates.bytesPerSecond, memory: rates.rssBytes },
    };
  });
  return seriesOf('agent', 'entries connected', rows, { cpu: 'ms/s', bytes: 'B/s', memory: 'B' });
}

async function byReconnects({ pid }: AgentUnderTest, entries: FakeEntries): Promise<Series[]> {
  const entryCount = entries.openCount;
  const rows = await mapInSequence([1, 2, 4], async (rounds) => {
    const cost = await measureCost(pid, () => mapInSequence(
      Array.from({ length: rounds }, (_, i) => i),
      async () => {
        entries.closeAll();
        await sleep(settleMs);
        await waitFor('entries', async () => entries.openCount >= entryCount, 30_000);
      },
    ));
    return { x: rounds * entryCount, values: { cpu: cost.cpuMs, bytes: cost.bytes } };
  });
  return seriesOf('agent', 'entries reconnected', rows, { cpu: 'ms', bytes: 'B' });
}

/** Runs `requests` requests in parallel, each to its end after `tokens` tokens. */
function runRequests(entries: FakeEntries, name: string, requests: number, tokens: number) {
  const connection = entries.connection();
  let ended = 0;
  return new Promise<void>((resolve) => {
    entries.onMessage((message) => {
      if (message.t === 'accept') {
        connection.send({
          t: 'start', req: message.req, attempt: 0, tokens: [1, 2, 3, 4],
        });
      }
      if (message.t !== 'end') return;
      connection.send({ t: 'cancel', req: message.req, attempt: 0 });
      ended += 1;
      if (ended === requests) resolve();
    });
    Array.from({ length: requests }, (_, i) => offerOf(connection, `${name}-${i}`, tokens))
      .forEach((offer) => connection.send(offer));
  });
}

async function byTokens({ pid }: AgentUnderTest, entries: FakeEntries): Promise<Series[]> {
  const requests = 32;
  const rows = await mapInSequence([25, 100, 200, 400], async (tokens) => {
    const cost = await measureCost(pid, () => runRequests(entries, `t${tokens}`, requests, tokens));
    return { x: tokens * requests, values: { cpu: cost.cpuMs, bytes: cost.bytes } };
  });
  return seriesOf('agent', 'tokens (32 requests)', rows, { cpu: 'ms', bytes: 'B' });
}

async function byHeldRequests({ pid }: AgentUnderTest, entries: FakeEntries): Promise<Series[]> {
  let held = 0;
  let accepted = 0;
  entries.onMessage(({ t }) => {
    if (t === 'accept') accepted += 1;
  });
  const rows = await mapInSequence([0, 1000, 2000, 4000], async (x) => {
    const connection = entries.connection();
    Array.from({ length: x - held }, (_, i) => offerOf(connection, `h-${held + i}`, 1))
      .forEach((offer) => connection.send(offer));
    held = x;
    await waitFor('offers to be accepted', async () => accepted >= x, 30_000);
    await sleep(settleMs);
    const rates = await measureRates(pid, settleMs);
    return { x, values: { memory: rates.rssBytes } };
  });
  return seriesOf('agent', 'requests held', rows, { memory: 'B' });
}

export async function agentSeries(agent: AgentUnderTest): Promise<Series[]> {
  const entries = createFakeEntries(agent.peerPort);
  const series = await mapInSequence([byEntries, byTokens, byReconnects, byHeldRequests], (run) => (
    run(agent, entries)));
  entries.close();
  return series.flat();
}
