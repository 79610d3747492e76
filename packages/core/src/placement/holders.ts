/** Hosts that hold layers: gaps in their coverage, redundant hosts and KV memory. */
import type { EngineModel } from '../serving/config.js';
import {
  byMemory, countLayers, type LayerHost, type LayerRange,
} from './hosts.js';
import { kvTokensForLayers } from './memory.js';

/** A host that holds at least one layer. */
export interface Holder extends LayerHost {
  held: LayerRange;
}

export const isHolder = (host: LayerHost): host is Holder => host.held !== undefined
  && countLayers(host.held) > 0;

/** Gaps: ranges of the model's layers that none of the given ranges covers. */
export function findGaps(ranges: readonly LayerRange[], layers: number): LayerRange[] {
  const sorted = [...ranges, { lo: layers, hi: layers }].sort((a, b) => a.lo - b.lo);
  let covered = 0;
  return sorted.flatMap(({ lo, hi }) => {
    const gap = { lo: covered, hi: lo };
    covered = Math.max(covered, hi);
    return gap.lo < gap.hi ? [gap] : [];
  });
}

const layersInRange = (range: LayerRange) => Array
  .from({ length: countLayers(range) }, (_, i) => range.lo + i);

/** Whether the ranges together cover all layers of a span. */
const covers = (ranges: readonly LayerRange[], span: LayerRange) => layersInRange(span)
  .every((layer) => ranges.some(({ lo, hi }) => lo <= layer && hi > layer));

/** Holders that can all be removed without uncovering a layer, smallest memory first. */
export function redundantHolders(holders: readonly Holder[]): Holder[] {
  const kept = new Set(holders);
  return [...holders].sort(byMemory).reverse().filter((holder) => {
    const others = [...kept].filter((other) => other !== holder).map(({ held }) => held);
    const isRedundant = covers(others, holder.held);
    if (isRedundant) kept.delete(holder);
    return isRedundant;
  });
}

/** KV tokens that fit on a host with `layers` layers. */
export const hostKvTokens = (engine: EngineModel, { memoryMb }: LayerHost, layers: number) => (
  kvTokensForLayers(engine, memoryMb, layers));

/** KV tokens that fit on a host with the layers that it holds. */
export const holderKvTokens = (engine: EngineModel, holder: Holder) => hostKvTokens(
  engine,
  holder,
  countLayers(holder.held),
);

/** Sums a value over the holders of each layer of a range; returns the lowest sum. */
function minLayerTotal(
  holders: readonly Holder[],
  range: LayerRange,
  valueOf: (holder: Holder) => number,
): number {
  return Math.min(...layersInRange(range).map((layer) => holders
    .filter(({ held }) => held.lo <= layer && held.hi > layer)
    .reduce((sum, holder) => sum + valueOf(holder), 0)));
}

/** Total KV tokens of the holders of a range, at the layer where it is lowest. */
export const rangeKvTokens = (
  engine: EngineModel,
  holders: readonly Holder[],
  range: LayerRange,
) => minLayerTotal(holders, range, (holder) => holderKvTokens(engine, holder));

/** Number of holders of a range, at the layer where it is lowest. */
export const rangeHolderCount = (holders: readonly Holder[], range: LayerRange) => minLayerTotal(
  holders,
  range,
  () => 1,
);
