/** Lays out a group of hosts that hold nothing: chains, and copies of their ranges. */
import type { EngineModel } from '../serving/config.js';
import { layChain, type PlacedRange } from './chain-layout.js';
import { copiesFor, setCopiesAside } from './copies.js';
import { byMemory, canHold, type LayerHost } from './hosts.js';

/** Stages that a chain may have. */
export const maxStages = 28;

/** Hosts of like size side by side in a chain. */
const sideBySide = 2;

const pairs = (hosts: readonly LayerHost[]) => Array.from(
  { length: Math.ceil(hosts.length / sideBySide) },
  (_, i) => hosts.slice(sideBySide * i, sideBySide * (i + 1)),
);

/**
 * Pairs of large and of small hosts in turn, so that each host has a large neighbour: the layers of
 * a lost host are taken on by its neighbours, and small ones seldom have room for another's.
 */
function interleaved(hosts: readonly LayerHost[]): LayerHost[] {
  const sorted = [...hosts].sort(byMemory);
  const half = Math.ceil(sorted.length / 2);
  const small = pairs(sorted.slice(half));
  return pairs(sorted.slice(0, half))
    .flatMap((large, i) => [...large, ...(small[i] ?? [])]);
}

/** Divides hosts into as few sets as a chain's length allows, each with a like share of speeds. */
function divide(engine: EngineModel, hosts: readonly LayerHost[]): LayerHost[][] {
  const count = Math.ceil(hosts.length / maxStages);
  const sorted = [...hosts].sort(byMemory);
  const sets = Array.from({ length: count }, (_, k) => sorted.filter((__, i) => i % count === k));
  return sets.filter((set) => canHold(engine, set));
}

/** One chain, begun by the smallest host, so that its first layers are cheap to copy. */
function laySet(engine: EngineModel, set: readonly LayerHost[]): PlacedRange[] {
  const { chain, copies } = setCopiesAside(engine, set);
  const order = copies.length > 0
    ? [...chain.slice(-1), ...interleaved(chain.slice(0, -1))]
    : interleaved(chain);
  const ranges = layChain(engine, order, { lo: 0, hi: engine.layers }) ?? [];
  const held = new Map(ranges.map(({ id, lo, hi }) => [id, { lo, hi }]));
  const laid = chain.map((host) => ({ ...host, held: held.get(host.id) }));
  return [...ranges, ...copiesFor(engine, [...laid, ...copies])
    .filter(({ id }) => !held.has(id))];
}

/** Ranges of hosts that hold nothing worth keeping. */
export const layGroup = (engine: EngineModel, hosts: readonly LayerHost[]) => divide(engine, hosts)
  .flatMap((set) => laySet(engine, set));
