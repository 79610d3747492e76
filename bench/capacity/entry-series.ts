/** What an entry costs, by agents, listed VMs, organisations, models, changes and requests. */
import { request } from 'undici';
import { waitFor } from '@verbenashunt/stand-ins';
import { createFakeAgents, type FakeAgents } from './fake-agents.js';
import { callerKey, type Nodes } from './nodes.js';
import {
  costOf, measure, sleep, statsOf,
} from './process-stats.js';
import { seriesOf, type Series } from './series.js';

const windowMs = 3000;
const settleMs = 1000;
const idleUnits = { cpu: 'ms/s', bytes: 'B/s', memory: 'B' };
const workUnits = { cpu: 'ms', bytes: 'B' };

const pidOf = ({ entry }: Nodes) => entry.process.pid!;

/** Runs one step after the other and gathers what each returns. */
export const inTurn = <T, R>(items: readonly T[], step: (item: T) => Promise<R>) => items
  .reduce<Promise<R[]>>(
    async (before, item) => [...await before, await step(item)],
    Promise.resolve([]),
  );

async function idle(nodes: Nodes) {
  await sleep(settleMs);
  const rates = await measure(pidOf(nodes), windowMs);
  return { cpu: rates.cpuMsPerSecond, bytes: rates.bytesPerSecond, memory: rates.rssBytes };
}

/** Agents that the entry connects to: eight hold each model, so that all are in its subset. */
export async function byAgents(nodes: Nodes, agents: FakeAgents): Promise<Series[]> {
  const rows = await inTurn([32, 96, 214], async (x) => {
    await agents.add(x - agents.vms.length, (i) => `m${Math.floor(i / 8)}`);
    await nodes.list(agents.vms);
    await waitFor(`${x} links`, async () => agents.open >= x, 60_000);
    return { x, values: await idle(nodes) };
  });
  return seriesOf('entry', 'agents connected', rows, idleUnits);
}

/** VMs that are listed and not connected to, at the start of an entry: all hold one model. */
export async function byListed(nodes: Nodes, agents: FakeAgents): Promise<Series[]> {
  const far = createFakeAgents();
  const rows = await inTurn([250, 500, 1000, 1500], async (x) => {
    await far.add(x - far.vms.length, () => 'shared', 'far');
    await nodes.list(far.vms);
    const before = far.opened;
    const entry = await nodes.startEntry(`entry-${x}`);
    await waitFor(`${x} agents to be learnt`, async () => far.opened >= before + x, 60_000);
    await sleep(settleMs);
    const stats = statsOf(entry.process.pid!);
    await entry.stop('SIGKILL');
    const bytes = stats.readBytes + stats.writtenBytes;
    return { x, values: { cpu: stats.cpuMs, bytes, memory: stats.rssBytes } };
  });
  far.close();
  await nodes.list(agents.vms);
  return seriesOf('entry', 'VMs listed, at the start', rows, { ...workUnits, memory: 'B' });
}

/** Changes of configuration by the number of organisations, to a fixed number of agents. */
export async function byOrganisations(nodes: Nodes): Promise<Series[]> {
  const changes = 4;
  let change = 0;
  const rows = await inTurn([100, 400, 1200], async (organisations) => {
    await nodes.apply({ organisations, models: 21 }, change);
    await sleep(settleMs);
    const cost = await costOf(pidOf(nodes), () => inTurn(
      Array.from({ length: changes }, (_, i) => i),
      async () => {
        change += 1;
        await nodes.apply({ organisations, models: 21 }, change);
      },
    ));
    return {
      x: organisations,
      values: { cpu: cost.cpuMs / changes, bytes: cost.bytes / changes, memory: cost.rssBytes },
    };
  });
  return seriesOf('entry', 'organisations, for each change', rows, { ...workUnits, memory: 'B' });
}

/** The same by the number of models. */
export async function byModels(nodes: Nodes): Promise<Series[]> {
  let change = 1000;
  const rows = await inTurn([7, 21, 63], async (models) => {
    await nodes.apply({ organisations: 400, models }, change);
    const cost = await costOf(pidOf(nodes), async () => {
      change += 1;
      await nodes.apply({ organisations: 400, models }, change);
    });
    return { x: models, values: { cpu: cost.cpuMs, bytes: cost.bytes } };
  });
  return seriesOf('entry', 'models, for each change', rows, workUnits);
}

async function chat(nodes: Nodes, tokens: number, signal?: AbortSignal) {
  const res = await request(`${nodes.entryUrl}/v1/chat/completions`, {
    method: 'POST',
    headers: { authorization: `Bearer ${callerKey}`, 'content-type': 'application/json' },
    body: JSON.stringify({
      model: 'm0', stream: true, max_tokens: tokens, messages: [{ role: 'user', content: 'Why third?' }],
    }),
    ...(signal ? { signal } : {}),
  });
  await res.body.dump({ limit: 10_000_000 });
}

/** Tokens passed on, at a fixed number of requests. */
export async function byTokens(nodes: Nodes): Promise<Series[]> {
  const requests = 100;
  const rows = await inTurn([10, 50, 100, 200], async (tokens) => {
    const cost = await costOf(pidOf(nodes), () => Promise.all(
      Array.from({ length: requests }, () => chat(nodes, tokens)),
    ));
    return { x: tokens * requests, values: { cpu: cost.cpuMs, bytes: cost.bytes } };
  });
  return seriesOf('entry', 'tokens (100 requests)', rows, workUnits);
}

/** Requests of one token. */
export async function byRequests(nodes: Nodes): Promise<Series[]> {
  const rows = await inTurn([200, 400, 800], async (x) => {
    const waves = Array.from({ length: x / 50 }, (_, i) => i);
    const cost = await costOf(pidOf(nodes), () => inTurn(waves, () => Promise.all(
      Array.from({ length: 50 }, () => chat(nodes, 1)),
    )));
    return { x, values: { cpu: cost.cpuMs, bytes: cost.bytes } };
  });
  return seriesOf('entry', 'requests', rows, workUnits);
}

/** Requests held open: memory alone. */
export async function byOpenRequests(nodes: Nodes, agents: FakeAgents): Promise<Series[]> {
  agents.hold(true);
  const abort = new AbortController();
  const open: Promise<unknown>[] = [];
  const rows = await inTurn([0, 200, 400, 800], async (x) => {
    const more = Array.from({ length: x - open.length }, () => chat(nodes, 1, abort.signal));
    open.push(...more.map((one) => one.catch(() => undefined)));
    await sleep(settleMs);
    return { x, values: await idle(nodes) };
  });
  abort.abort();
  await Promise.all(open);
  agents.hold(false);
  return seriesOf('entry', 'requests open', rows, { cpu: 'ms/s', memory: 'B' });
}

/** Restarts of agents, as the entry sees them. */
export async function byRestarts(nodes: Nodes, agents: FakeAgents): Promise<Series[]> {
  const each = agents.open;
  const rows = await inTurn([1, 2, 4], async (rounds) => {
    const cost = await costOf(pidOf(nodes), () => inTurn(
      Array.from({ length: rounds }, (_, i) => i),
      async () => {
        agents.cutAll();
        await sleep(settleMs);
        await waitFor('links', async () => agents.open >= each, 30_000);
      },
    ));
    return { x: rounds * each, values: { cpu: cost.cpuMs, bytes: cost.bytes } };
  });
  return seriesOf('entry', 'agents reconnected', rows, workUnits);
}
