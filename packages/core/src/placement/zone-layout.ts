/** Lays out chains, and replicas of their ranges, on a group of hosts that hold nothing. */
import type { EngineModel } from '../serving/config.js';
import { layOutChain, type PlacedRange } from './chain-layout.js';
import { planReplicas, reserveReplicaHosts } from './replicas.js';
import { byMemory, canHold, type LayerHost } from './hosts.js';

/** Most stages that a chain may have. */
export const maxStages = 28;

/** Hosts of similar memory size that are placed next to each other in a chain. */
const chunkSize = 2;

const chunksOf = (hosts: readonly LayerHost[]) => Array.from(
  { length: Math.ceil(hosts.length / chunkSize) },
  (_, i) => hosts.slice(chunkSize * i, chunkSize * (i + 1)),
);

/**
 * Alternates pairs of large and of small hosts, so that each host has a large neighbour. When a
 * host is lost, its neighbours take over its layers, for which small hosts seldom have memory.
 */
function interleaveBySize(hosts: readonly LayerHost[]): LayerHost[] {
  const sorted = [...hosts].sort(byMemory);
  const half = Math.ceil(sorted.length / 2);
  const small = chunksOf(sorted.slice(half));
  return chunksOf(sorted.slice(0, half))
    .flatMap((large, i) => [...large, ...(small[i] ?? [])]);
}

/**
 * Divides hosts into as few sets as `maxStages` allows, each with a similar mix of memory sizes and
 * speeds. Sets that can't hold the model are left out.
 */
function divideIntoSets(engine: EngineModel, hosts: readonly LayerHost[]): LayerHost[][] {
  const count = Math.ceil(hosts.length / maxStages);
  const sorted = [...hosts].sort(byMemory);
  const sets = Array.from({ length: count }, (_, k) => sorted.filter((__, i) => i % count === k));
  return sets.filter((set) => canHold(engine, set));
}

/**
 * One chain and its replicas. If there are replicas, the chain starts with its smallest host, so
 * that its first range is short and easy to replicate.
 */
function layOutSet(engine: EngineModel, set: readonly LayerHost[]): PlacedRange[] {
  const { chain, replicas } = reserveReplicaHosts(engine, set);
  const order = replicas.length > 0
    ? [...chain.slice(-1), ...interleaveBySize(chain.slice(0, -1))]
    : interleaveBySize(chain);
  const ranges = layOutChain(engine, order, { lo: 0, hi: engine.layers }) ?? [];
  const held = new Map(ranges.map(({ id, lo, hi }) => [id, { lo, hi }]));
  const chainHosts = chain.map((host) => ({ ...host, held: held.get(host.id) }));
  return [...ranges, ...planReplicas(engine, [...chainHosts, ...replicas])
    .filter(({ id }) => !held.has(id))];
}

/** Ranges for the hosts of a group, planned from scratch regardless of what they hold. */
export const layOutGroup = (
  engine: EngineModel,
  hosts: readonly LayerHost[],
) => divideIntoSets(engine, hosts)
  .flatMap((set) => layOutSet(engine, set));
