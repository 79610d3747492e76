/**
 * A leaving target gets no new work, with real processes: marked in the VM list, or stopped by
 * SIGTERM and then also suspended or killed.
 */
import { fileURLToPath } from 'node:url';
import { afterEach, expect, test } from 'vitest';
import { request } from 'undici';
import {
  operatorKey, startCluster, waitFor, type Cluster,
} from '@verbenashunt/stand-ins';
import type { Vm } from '@verbenashunt/schema';

const declarations = fileURLToPath(new URL('../../examples/demo', import.meta.url));
const headers = { authorization: 'Bearer demo-key', 'content-type': 'application/json' };
const longAnswerTokens = 60;
const slowEngineFlags = ['--layer-ms', '3'];
let cluster: Cluster;

afterEach(() => cluster?.stop());

const start = async (flags: string[] = []) => {
  cluster = await startCluster({
    model: 'rankings',
    layers: 12,
    fleet: 'armor-rankings',
    engines: [{ lo: 0, hi: 12, flags }, { lo: 0, hi: 12, flags }],
    services: 0,
    entries: 1,
    declarations,
    entryFlags: ['--vm-poll-ms', '200'],
  });
  const agent = cluster.daemons.get('agent-engine-1')!;
  return { agent, entry: cluster.entries[0]! };
};

async function chat(entry: string, maxTokens = 4) {
  const res = await request(`${entry}/v1/chat/completions`, {
    method: 'POST',
    headers,
    body: JSON.stringify({
      model: 'rankings', max_tokens: maxTokens, messages: [{ role: 'user', content: 'Why third?' }],
    }),
  });
  return { status: res.statusCode, text: await res.body.text() };
}

interface AgentView {
  node: string;
  own: number;
  state: { draining: boolean };
}

async function agentsOf(entry: string) {
  const res = await request(`${entry}/operator/v1/state`, { headers: { authorization: `Bearer ${operatorKey}` } });
  return (await res.body.json() as { agents: AgentView[] }).agents;
}

/** Number of offers that the first agent has accepted. */
async function accepted() {
  const { httpPort } = cluster.daemons.get('agent-engine-1')!.ready as { httpPort: number };
  const res = await request(`http://127.0.0.1:${httpPort}/metrics`);
  const counter = /stage_events_total\{event="accepted"\} (\d+)/.exec(await res.body.text());
  return Number(counter?.[1] ?? 0);
}

const waitUntilLeaving = (entry: string) => waitFor('the agent to be draining or lost', async () => {
  const agent = (await agentsOf(entry)).find(({ node }) => node === 'agent-engine-1');
  return !agent || agent.state.draining;
});

async function expectServed(answers: Promise<{ status: number }>[]) {
  expect((await Promise.all(answers)).map(({ status }) => status)).toEqual(answers.map(() => 200));
}

const expectServedElsewhere = (entry: string) => expectServed(
  Array.from({ length: 12 }, () => chat(entry)),
);

async function expectNoNewWork(entry: string) {
  const before = await accepted();
  await expectServedElsewhere(entry);
  expect(await accepted()).toBe(before);
}

/** Starts long requests and waits until the first target has accepted at least one. */
async function startLongRequests(entry: string) {
  const running = Array.from({ length: 8 }, () => chat(entry, longAnswerTokens));
  await waitFor('the first target to accept a request', async () => (await accepted()) > 0);
  return running;
}

async function updateVmList(change: (vm: Vm) => Vm) {
  const list = await request(`${cluster.platform}/vms`);
  const { vms } = await list.body.json() as { vms: Vm[] };
  await request(`${cluster.platform}/vms`, { method: 'PUT', body: JSON.stringify({ vms: vms.map(change) }) });
}

test('a target marked as leaving in the VM list gets no new work', async () => {
  const { entry } = await start();
  await updateVmList((vm) => (vm.id === 'agent-engine-1' ? { ...vm, state: 'leaving' } : vm));
  await waitUntilLeaving(entry);
  await expectNoNewWork(entry);
});

test('a target stopped by SIGTERM before the VM list shows it gets no new work and completes its own', async () => {
  const { agent, entry } = await start(slowEngineFlags);
  const running = await startLongRequests(entry);
  const ended = agent.stop();
  await waitUntilLeaving(entry);
  await expectNoNewWork(entry);
  await expectServed(running);
  expect(await ended).toBe(0);
});

test('a target stopped by SIGTERM while the VM list is unavailable gets no new work', async () => {
  const { agent, entry } = await start(slowEngineFlags);
  await cluster.daemons.get('platform')!.stop('SIGKILL');
  const running = await startLongRequests(entry);
  const ended = agent.stop();
  await waitUntilLeaving(entry);
  await expectNoNewWork(entry);
  await expectServed(running);
  expect(await ended).toBe(0);
});

test('a target suspended while it drains takes no new work after it continues', async () => {
  const { agent, entry } = await start(slowEngineFlags);
  const running = await startLongRequests(entry);
  const ended = agent.stop();
  await waitUntilLeaving(entry);
  const before = await accepted();
  agent.process.kill('SIGSTOP');
  await waitFor('the suspended agent to be lost', async () => (
    !(await agentsOf(entry)).some(({ node }) => node === 'agent-engine-1')));
  await expectServedElsewhere(entry);
  await expectServed(running);
  agent.process.kill('SIGCONT');
  expect(await accepted()).toBe(before);
  await expectServedElsewhere(entry);
  expect(await ended).toBe(0);
});

test('requests of a target killed while it drains continue at another target', async () => {
  const { agent, entry } = await start(slowEngineFlags);
  const running = await startLongRequests(entry);
  agent.process.kill('SIGTERM');
  await waitUntilLeaving(entry);
  await agent.stop('SIGKILL');
  await expectServedElsewhere(entry);
  await expectServed(running);
});
