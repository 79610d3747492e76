/**
 * Time from the acceptance of a change until it is in force on every VM, with all entries and
 * agents in one process over loopback TCP, and the bytes that they send. Run by
 * `npm run bench:config`.
 */
import { Socket } from 'node:net';
import { pino } from 'pino';
import { request } from 'undici';
import { createAgent, type Agent } from '@verbenashunt/agent';
import {
  BaseError, createConfigHolder, itemsOf, sha256, SystemClock, type ConfigHolder,
} from '@verbenashunt/core';
import { createConfigStore, createEntry, type Entry } from '@verbenashunt/entry';
import type { Command, Declarations, Vm } from '@verbenashunt/schema';
import { startPlatform, waitFor, type StandIn } from '@verbenashunt/stand-ins';
import { createPlatformClient, type PlatformClient } from '@verbenashunt/wire';

const host = '127.0.0.1';
const key = 'bench-key';
const idleWindowMs = 5000;
const millisecondsPerSecond = 1000;

export interface SpreadSpec {
  entries: number;
  agents: number;
  zones: number;
  changes: number;
  /** The accepting entry tells no one: the others hear it from the table alone. */
  silent: boolean;
}

export interface SpreadFigures extends SpreadSpec {
  p50Ms: number;
  p99Ms: number;
  maxMs: number;
  /** Bytes sent by all processes in a second without changes, for one process. */
  idleBytesPerNodeSecond: number;
  /** Bytes sent for one change, for one process. */
  bytesPerNodeChange: number;
  headReadsPerSecond: number;
}

let sentBytes = 0;

/** Counts what every socket of this process sends. */
export function countSentBytes() {
  const { write } = Socket.prototype;
  Socket.prototype.write = function counted(this: Socket, chunk: Uint8Array | string, ...rest) {
    sentBytes += chunk.length;
    return write.call(this, chunk, ...rest as []);
  };
}

const sleep = (ms: number) => new Promise<void>((resolve) => {
  setTimeout(resolve, ms);
});

interface BenchFleet {
  platform: StandIn;
  client: PlatformClient;
  entries: Entry[];
  agents: Agent[];
}

const placeOf = (i: number, zones: number) => ({
  zone: `zone-${i % zones}`, region: 'region', host, peerPort: 0, httpPort: 0,
});

async function startFleet(spec: SpreadSpec): Promise<BenchFleet> {
  const log = pino({ level: 'silent' });
  const platform = await startPlatform({ host, port: 0, vms: [] });
  const indexes = (count: number) => Array.from({ length: count }, (_, i) => i);
  const agents = await Promise.all(indexes(spec.agents).map((i) => createAgent({
    ...placeOf(i, spec.zones), node: `agent-${i}`, platformUrl: platform.url, target: `t-${i}`, fleet: 'f', targetKind: 'service', targetUrl: platform.url,
  }, { log })));
  const entries = await Promise.all(indexes(spec.entries).map((i) => createEntry({
    ...placeOf(i, spec.zones), node: `entry-${i}`, platformUrl: platform.url, vmPollMs: 500, bootstrapOperatorHash: sha256(key),
  }, { log })));
  const vmOf = (role: 'entry' | 'agent') => ({ peerPort }: { peerPort: number }, i: number): Vm => ({
    id: `${role}-${i}`, role, zone: `zone-${i % spec.zones}`, region: 'region', host, port: peerPort, state: 'live',
  });
  const vms = [...agents.map(vmOf('agent')), ...entries.map(vmOf('entry'))];
  const put = await request(`${platform.url}/vms`, { method: 'PUT', body: JSON.stringify({ vms }) });
  await put.body.dump();
  return {
    platform, client: createPlatformClient(platform.url), entries, agents,
  };
}

const declarations = (targets: number): Declarations => ({
  fleets: [{
    name: 'f', targets: Array.from({ length: targets }, (_, i) => ({ name: `t-${i}`, kind: 'service' as const, checksFencing: false })),
  }],
  organisations: [{ name: 'o', keyHashes: ['a'.repeat(64)] }],
});

function commandOf(config: ConfigHolder, targets: number, round: number): Command {
  const first = config.revision === 0;
  return {
    commandId: `c-${round}`,
    kind: first ? 'apply' : 'drain',
    baseRevision: config.revision,
    changes: first
      ? [...itemsOf(declarations(targets))].map(([item, value]) => ({ item, value }))
      : [{ item: `drain/t-${round % targets}`, value: '{"reason":"bench"}' }],
  };
}

async function readsOf(platform: StandIn): Promise<number> {
  const counts = await (await request(`${platform.url}/counts`)).body.json() as { reads: number };
  return counts.reads;
}

const quantile = (sorted: number[], q: number) => sorted[
  Math.min(sorted.length - 1, Math.floor(sorted.length * q))]!;

/** Sends a command over the operators' API; the time of the commit is in the figures. */
async function sendTo({ httpPort }: Entry, command: Command) {
  const res = await request(`http://${host}:${httpPort}/operator/v1/commands`, {
    method: 'POST', headers: { authorization: `Bearer ${key}` }, body: JSON.stringify(command),
  });
  const answer = await res.body.text();
  if (res.statusCode !== 200) throw new BaseError(`the command was not accepted: ${answer}`);
}

/** A store that writes to the table as an entry would that ends right after its commit. */
function createCommitter({ client }: BenchFleet) {
  const config = createConfigHolder(() => {});
  const store = createConfigStore({
    platform: client, clock: new SystemClock(), random: Math.random, config,
  });
  return { config, store };
}

export async function measureSpread(spec: SpreadSpec): Promise<SpreadFigures> {
  const fleet = await startFleet(spec);
  const { config, store } = createCommitter(fleet);
  const nodes = [...fleet.entries, ...fleet.agents];
  const times: number[] = [];
  let acceptedAt = 0;
  const seen = new Map<number, number>();
  const inForce = (revision: number) => {
    seen.set(revision, (seen.get(revision) ?? 0) + 1);
    if (revision > 1) times.push(performance.now() - acceptedAt);
  };
  fleet.entries.forEach(({ events }) => events.on('config', inForce));
  fleet.agents.forEach(({ events }) => events.on('config', inForce));

  async function change(round: number) {
    const accepting = spec.silent || round === 0 ? undefined : fleet.entries[round % spec.entries];
    const command = commandOf(config, spec.agents, round);
    if (accepting) {
      acceptedAt = performance.now();
      await sendTo(accepting, command);
      await store.catchUp();
    } else {
      await store.submit(command, 'bench');
      acceptedAt = performance.now();
    }
    await waitFor(`revision ${config.revision} on all nodes`, () => Promise.resolve(
      seen.get(config.revision) === nodes.length,
    ));
  }

  await change(0);
  await sleep(millisecondsPerSecond);
  const [idleBytes, idleReads] = [sentBytes, await readsOf(fleet.platform)];
  await sleep(idleWindowMs);
  const idle = sentBytes - idleBytes;
  const reads = await readsOf(fleet.platform) - idleReads;
  const [before, started] = [sentBytes, performance.now()];
  await Array.from({ length: spec.changes }, (_, i) => i + 1)
    .reduce((done, round) => done.then(() => change(round)), Promise.resolve());
  const perSecond = idle / (idleWindowMs / millisecondsPerSecond);
  const elapsedSeconds = (performance.now() - started) / millisecondsPerSecond;
  const changed = Math.max(0, sentBytes - before - perSecond * elapsedSeconds);
  const hurry = AbortSignal.abort();
  await Promise.all(nodes.map((node) => node.stop(hurry)));
  await Promise.all([fleet.client.close(), fleet.platform.close()]);
  const sorted = times.sort((a, b) => a - b);
  return {
    ...spec,
    p50Ms: quantile(sorted, 0.5),
    p99Ms: quantile(sorted, 0.99),
    maxMs: sorted.at(-1)!,
    idleBytesPerNodeSecond: perSecond / nodes.length,
    bytesPerNodeChange: changed / spec.changes / nodes.length,
    headReadsPerSecond: reads / (idleWindowMs / millisecondsPerSecond),
  };
}
