/**
 * Lays out a chain: divides a span of layers among hosts of different memory and speed. Each layer
 * goes to one host only, which leaves the most memory for KV cache, the limit on the concurrent
 * requests of a chain. Memory that the KV cache doesn't need goes into more layers on faster hosts.
 */
import type { EngineModel } from '../serving/config.js';
import { layersForKvTokens } from './memory.js';
import {
  keptKvShare, maxKvTokens, type LayerHost, type LayerRange,
} from './hosts.js';

/** Layers for the host with this id. */
export interface PlacedRange extends LayerRange {
  id: string;
}

interface HostLayers {
  host: LayerHost;
  layers: number;
}

/** The host that takes longest for a step of its layers. */
const slowest = (assigned: readonly HostLayers[]) => assigned
  .filter(({ layers }) => layers > 0)
  .reduce((worst, entry) => (
    entry.host.stepFactor * entry.layers > worst.host.stepFactor * worst.layers ? entry : worst));

/**
 * Number of layers of each host, in the order of the hosts; undefined if they can't hold `layers`
 * layers with any KV cache.
 */
export function layerCounts(
  engine: EngineModel,
  hosts: readonly LayerHost[],
  layers: number,
): number[] | undefined {
  if (hosts.length === 0) return undefined;
  const maxTokens = maxKvTokens(engine, hosts, layers);
  if (maxTokens <= 0) return undefined;
  const assigned = hosts.map((host): HostLayers => ({
    host, layers: layersForKvTokens(engine, host.memoryMb, maxTokens * keptKvShare),
  }));
  const surplus = assigned.reduce((sum, entry) => sum + entry.layers, 0) - layers;
  Array.from({ length: surplus }).forEach(() => {
    slowest(assigned).layers -= 1;
  });
  return assigned.map((entry) => entry.layers);
}

/**
 * Consecutive ranges of the hosts, in their order, over the span. A host that gets no layers is
 * left out; undefined if the hosts can't hold the span.
 */
export function layOutChain(
  engine: EngineModel,
  hosts: readonly LayerHost[],
  span: LayerRange,
): PlacedRange[] | undefined {
  const counts = layerCounts(engine, hosts, span.hi - span.lo);
  if (!counts) return undefined;
  let { lo } = span;
  return hosts.flatMap(({ id }, i) => {
    const from = lo;
    lo += counts[i]!;
    return counts[i]! > 0 ? [{ id, lo: from, hi: lo }] : [];
  });
}
