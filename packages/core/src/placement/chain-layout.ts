/**
 * Lays hosts of mixed memory and speed end to end over a span of layers. Weights are held once, so
 * that most memory is left for KV cache, which bounds the requests that a chain carries at once;
 * what KV cache doesn't need goes into more layers on the faster hosts.
 */
import type { EngineModel } from '../serving/config.js';
import { fittingLayersAt } from './memory.js';
import {
  kvShare, maxKvTokens, type LayerHost, type LayerRange,
} from './hosts.js';

export interface PlacedRange extends LayerRange {
  id: string;
}

interface Counted {
  host: LayerHost;
  layers: number;
}

/** The host that saves most time when it gives up a layer; the slowest with the most layers. */
const slowest = (counted: readonly Counted[]) => counted
  .filter(({ layers }) => layers > 0)
  .reduce((worst, c) => (
    c.host.stepFactor * c.layers > worst.host.stepFactor * worst.layers ? c : worst));

/** Layers of each host, in the order of the hosts; undefined when they can't hold the span. */
export function layerCounts(
  engine: EngineModel,
  hosts: readonly LayerHost[],
  layers: number,
): number[] | undefined {
  if (hosts.length === 0) return undefined;
  const most = maxKvTokens(engine, hosts, layers);
  if (most <= 0) return undefined;
  const counted = hosts.map((host): Counted => ({
    host, layers: fittingLayersAt(engine, host.memoryMb, most * kvShare),
  }));
  const surplus = counted.reduce((sum, c) => sum + c.layers, 0) - layers;
  Array.from({ length: surplus }).forEach(() => {
    slowest(counted).layers -= 1;
  });
  return counted.map((c) => c.layers);
}

/** Ranges of the hosts, in their order, over [span.lo, span.hi). */
export function layChain(
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
