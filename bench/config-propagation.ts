/**
 * Measures the time from the acceptance of a change until it is in force on every node, and the
 * bytes sent. All entries and agents run in this process and communicate over loopback TCP. Run by
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

export interface PropagationSpec {
  entries: number;
  agents: number;
  zones: number;
  changes: number;
  /**
   * The accepting entry does not announce its commits, so that the other nodes learn of a change
   * only by polling the table.
   */
  silent: boolean;
}

export interface PropagationResult extends PropagationSpec {
  p50Ms: number;
  p99Ms: number;
  maxMs: number;
  /** Bytes that a node sends per second without changes. */
  idleBytesPerNodeSecond: number;
  /** Bytes that a node sends for one change. */
  bytesPerNodeChange: number;
  headReadsPerSecond: number;
}

let sentBytes = 0;

/** Patches `Socket.prototype.write` to count the bytes sent by this process. */
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

const locationOf = (i: number, zones: number) => ({
  zone: `zone-${i % zones}`, region: 'region', host, peerPort: 0, httpPort: 0,
});

async function startFleet(spec: PropagationSpec): Promise<BenchFleet> {
  const log = pino({ level: 'silent' });
  const platform = await startPlatform({ host, port: 0, vms: [] });
  const indexes = (count: number) => Array.from({ length: count }, (_, i) => i);
  const agents = await Promise.all(indexes(spec.agents).map((i) => createAgent({
    ...locationOf(i, spec.zones), node: `agent-${i}`, platformUrl: platform.url, target: `t-${i}`, fleet: 'f', targetKind: 'service', targetUrl: platform.url,
  }, { log })));
  const entries = await Promise.all(indexes(spec.entries).map((i) => createEntry({
    ...locationOf(i, spec.zones), node: `entry-${i}`, platformUrl: platform.url, vmPollMs: 500, bootstrapOperatorHash: sha256(key),
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

async function headReadsOf(platform: StandIn): Promise<number> {
  const counts = await (await request(`${platform.url}/counts`)).body.json() as { reads: number };
  return counts.reads;
}

const quantile = (sorted: number[], q: number) => sorted[
  Math.min(sorted.length - 1, Math.floor(sorted.length * q))]!;

/** Sends a command to the operator API; the measured time includes the commit. */
async function submitTo({ httpPort }: Entry, command: Command) {
  const res = await request(`http://${host}:${httpPort}/operator/v1/commands`, {
    method: 'POST', headers: { authorization: `Bearer ${key}` }, body: JSON.stringify(command),
  });
  const answer = await res.body.text();
  if (res.statusCode !== 200) throw new BaseError(`entry did not accept the command: ${answer}`);
}

/** Store that commits like an entry that crashes before it announces the commit. */
function createCommitter({ client }: BenchFleet) {
  const config = createConfigHolder(() => {});
  const store = createConfigStore({
    platform: client, clock: new SystemClock(), random: Math.random, config,
  });
  return { config, store };
}

export async function measurePropagation(spec: PropagationSpec): Promise<PropagationResult> {
  const fleet = await startFleet(spec);
  const { config, store } = createCommitter(fleet);
  const nodes = [...fleet.entries, ...fleet.agents];
  const propagationMs: number[] = [];
  let acceptedAt = 0;
  const nodesByRevision = new Map<number, number>();
  const onRevision = (revision: number) => {
    nodesByRevision.set(revision, (nodesByRevision.get(revision) ?? 0) + 1);
    if (revision > 1) propagationMs.push(performance.now() - acceptedAt);
  };
  fleet.entries.forEach(({ events }) => events.on('config', onRevision));
  fleet.agents.forEach(({ events }) => events.on('config', onRevision));

  async function submitChange(round: number) {
    const acceptingEntry = spec.silent || round === 0
      ? undefined : fleet.entries[round % spec.entries];
    const command = commandOf(config, spec.agents, round);
    if (acceptingEntry) {
      acceptedAt = performance.now();
      await submitTo(acceptingEntry, command);
      await store.catchUp();
    } else {
      await store.submit(command, 'bench');
      acceptedAt = performance.now();
    }
    await waitFor(`revision ${config.revision} on all nodes`, () => Promise.resolve(
      nodesByRevision.get(config.revision) === nodes.length,
    ));
  }

  await submitChange(0);
  await sleep(millisecondsPerSecond);
  const [bytesBeforeIdle, readsBeforeIdle] = [sentBytes, await headReadsOf(fleet.platform)];
  await sleep(idleWindowMs);
  const idleBytes = sentBytes - bytesBeforeIdle;
  const headReads = await headReadsOf(fleet.platform) - readsBeforeIdle;
  const [bytesBeforeChanges, changesStartedAt] = [sentBytes, performance.now()];
  await Array.from({ length: spec.changes }, (_, i) => i + 1)
    .reduce((done, round) => done.then(() => submitChange(round)), Promise.resolve());
  const idleBytesPerSecond = idleBytes / (idleWindowMs / millisecondsPerSecond);
  const elapsedSeconds = (performance.now() - changesStartedAt) / millisecondsPerSecond;
  const changeBytes = Math.max(
    0,
    sentBytes - bytesBeforeChanges - idleBytesPerSecond * elapsedSeconds,
  );
  const abortedSignal = AbortSignal.abort();
  await Promise.all(nodes.map((node) => node.stop(abortedSignal)));
  await Promise.all([fleet.client.close(), fleet.platform.close()]);
  const sorted = propagationMs.sort((a, b) => a - b);
  return {
    ...spec,
    p50Ms: quantile(sorted, 0.5),
    p99Ms: quantile(sorted, 0.99),
    maxMs: sorted.at(-1)!,
    idleBytesPerNodeSecond: idleBytesPerSecond / nodes.length,
    bytesPerNodeChange: changeBytes / spec.changes / nodes.length,
    headReadsPerSecond: headReads / (idleWindowMs / millisecondsPerSecond),
  };
}
