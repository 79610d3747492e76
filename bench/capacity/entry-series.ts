/**
 * Resource use of an entry by agents, listed VMs, organisations, models, requests and reconnects.
 */
import { request } from 'undici';
import { waitFor } from '@verbenashunt/stand-ins';
import { createFakeAgents, type FakeAgents } from './fake-agents.js';
import { callerKey, type Nodes } from './nodes.js';
import {
  measureCost, measureRates, sleep, readStats,
} from './process-stats.js';
import { seriesOf, type Series } from './series.js';

const windowMs = 3000;
const settleMs = 1000;
const rateUnits = { cpu: 'ms/s', bytes: 'B/s', memory: 'B' };
const costUnits = { cpu: 'ms', bytes: 'B' };

const pidOf = ({ entry }: Nodes) => entry.process.pid!;

/** Calls an async function for each item in sequence and returns the results. */
export const mapInSequence = <T, R>(items: readonly T[], step: (item: T) => Promise<R>) => items
  .reduce<Promise<R[]>>(
    async (before, item) => [...await before, await step(item)],
    Promise.resolve([]),
  );

async function measureIdle(nodes: Nodes) {
  await sleep(settleMs);
  const rates = await measureRates(pidOf(nodes), windowMs);
  return { cpu: rates.cpuMsPerSecond, bytes: rates.bytesPerSecond, memory: rates.rssBytes };
}

/**
 * Connected agents. Only eight hold each model, few enough that the entry's subset of targets
 * includes all of them.
 */
export async function byAgents(nodes: Nodes, agents: FakeAgents): Promise<Series[]> {
  const rows = await mapInSequence([32, 96, 214], async (x) => {
    await agents.add(x - agents.vms.length, (i) => `m${Math.floor(i / 8)}`);
    await nodes.setVms(agents.vms);
    await waitFor(`${x} links`, async () => agents.openCount >= x, 60_000);
    return { x, values: await measureIdle(nodes) };
  });
  return seriesOf('entry', 'agents connected', rows, rateUnits);
}

/**
 * VMs in the platform's list when an entry starts. All agents hold the same model, so the entry
 * learns about each of them but stays connected to a subset only.
 */
export async function byListedVms(nodes: Nodes, agents: FakeAgents): Promise<Series[]> {
  const listedAgents = createFakeAgents();
  const rows = await mapInSequence([250, 500, 1000, 1500], async (x) => {
    await listedAgents.add(x - listedAgents.vms.length, () => 'shared', 'far');
    await nodes.setVms(listedAgents.vms);
    const before = listedAgents.openedCount;
    const entry = await nodes.startEntry(`entry-${x}`);
    await waitFor(`${x} agents to be discovered`, async () => listedAgents.openedCount >= before + x, 60_000);
    await sleep(settleMs);
    const stats = readStats(entry.process.pid!);
    await entry.stop('SIGKILL');
    const bytes = stats.readBytes + stats.writtenBytes;
    return { x, values: { cpu: stats.cpuMs, bytes, memory: stats.rssBytes } };
  });
  listedAgents.close();
  await nodes.setVms(agents.vms);
  return seriesOf('entry', 'VMs listed, at the start', rows, { ...costUnits, memory: 'B' });
}

/** Cost of a configuration change by the number of organisations, with a fixed number of agents. */
export async function byOrganisations(nodes: Nodes): Promise<Series[]> {
  const changes = 4;
  let change = 0;
  const rows = await mapInSequence([100, 400, 1200], async (organisations) => {
    await nodes.apply({ organisations, models: 21 }, change);
    await sleep(settleMs);
    const cost = await measureCost(pidOf(nodes), () => mapInSequence(
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
  return seriesOf('entry', 'organisations, for each change', rows, { ...costUnits, memory: 'B' });
}

/** Cost of a configuration change by the number of models. */
export async function byModels(nodes: Nodes): Promise<Series[]> {
  let change = 1000;
  const rows = await mapInSequence([7, 21, 63], async (models) => {
    await nodes.apply({ organisations: 400, models }, change);
    const cost = await measureCost(pidOf(nodes), async () => {
      change += 1;
      await nodes.apply({ organisations: 400, models }, change);
    });
    return { x: models, values: { cpu: cost.cpuMs, bytes: cost.bytes } };
  });
  return seriesOf('entry', 'models, for each change', rows, costUnits);
}

async function sendChat(nodes: Nodes, tokens: number, signal?: AbortSignal) {
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

/** Tokens forwarded to callers, for a fixed number of requests. */
export async function byTokens(nodes: Nodes): Promise<Series[]> {
  const requests = 100;
  const rows = await mapInSequence([10, 50, 100, 200], async (tokens) => {
    const cost = await measureCost(pidOf(nodes), () => Promise.all(
      Array.from({ length: requests }, () => sendChat(nodes, tokens)),
    ));
    return { x: tokens * requests, values: { cpu: cost.cpuMs, bytes: cost.bytes } };
  });
  return seriesOf('entry', 'tokens (100 requests)', rows, costUnits);
}

/** Requests with an answer of one token. */
export async function byRequests(nodes: Nodes): Promise<Series[]> {
  const rows = await mapInSequence([200, 400, 800], async (x) => {
    const batches = Array.from({ length: x / 50 }, (_, i) => i);
    const cost = await measureCost(pidOf(nodes), () => mapInSequence(batches, () => Promise.all(
      Array.from({ length: 50 }, () => sendChat(nodes, 1)),
    )));
    return { x, values: { cpu: cost.cpuMs, bytes: cost.bytes } };
  });
  return seriesOf('entry', 'requests', rows, costUnits);
}

/** Requests that wait for their first token. */
export async function byOpenRequests(nodes: Nodes, agents: FakeAgents): Promise<Series[]> {
  agents.setHolding(true);
  const abort = new AbortController();
  const open: Promise<unknown>[] = [];
  const rows = await mapInSequence([0, 200, 400, 800], async (x) => {
    const more = Array.from({ length: x - open.length }, () => sendChat(nodes, 1, abort.signal));
    open.push(...more.map((one) => one.catch(() => undefined)));
    await sleep(settleMs);
    return { x, values: await measureIdle(nodes) };
  });
  abort.abort();
  await Promise.all(open);
  agents.setHolding(false);
  return seriesOf('entry', 'requests open', rows, { cpu: 'ms/s', memory: 'B' });
}

/** Reconnects after all agents close their connections, as in a restart. */
export async function byReconnects(nodes: Nodes, agents: FakeAgents): Promise<Series[]> {
  const linkCount = agents.openCount;
  const rows = await mapInSequence([1, 2, 4], async (rounds) => {
    const cost = await measureCost(pidOf(nodes), () => mapInSequence(
      Array.from({ length: rounds }, (_, i) => i),
      async () => {
        agents.closeAll();
        await sleep(settleMs);
        await waitFor('links', async () => agents.openCount >= linkCount, 30_000);
      },
    ));
    return { x: rounds * linkCount, values: { cpu: cost.cpuMs, bytes: cost.bytes } };
  });
  return seriesOf('entry', 'agents reconnected', rows, costUnits);
}
