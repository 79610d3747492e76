/** Hosts that hold layers: what they cover together, and which of them the others stand in for. */
import type { EngineModel } from '../serving/config.js';
import {
  byMemory, lengthOf, type LayerHost, type LayerRange,
} from './hosts.js';
import { kvTokensBeside } from './memory.js';

export interface Holder extends LayerHost {
  held: LayerRange;
}

export const isHolder = (host: LayerHost): host is Holder => host.held !== undefined
  && lengthOf(host.held) > 0;

/** Layers of the model that none of the ranges covers. */
export function holesIn(ranges: readonly LayerRange[], layers: number): LayerRange[] {
  const sorted = [...ranges, { lo: layers, hi: layers }].sort((a, b) => a.lo - b.lo);
  let covered = 0;
  return sorted.flatMap(({ lo, hi }) => {
    const hole = { lo: covered, hi: lo };
    covered = Math.max(covered, hi);
    return hole.lo < hole.hi ? [hole] : [];
  });
}

const layersOf = (range: LayerRange) => Array
  .from({ length: lengthOf(range) }, (_, i) => range.lo + i);

/** Whether ranges together cover all layers of a span. */
const covers = (ranges: readonly LayerRange[], span: LayerRange) => layersOf(span)
  .every((layer) => ranges.some(({ lo, hi }) => lo <= layer && hi > layer));

/** Hosts that can all be taken away without a layer lost, the smallest first. */
export function redundantIn(holders: readonly Holder[]): Holder[] {
  const kept = new Set(holders);
  return [...holders].sort(byMemory).reverse().filter((holder) => {
    const others = [...kept].filter((other) => other !== holder).map(({ held }) => held);
    const isRedundant = covers(others, holder.held);
    if (isRedundant) kept.delete(holder);
    return isRedundant;
  });
}

/** KV tokens of a host beside so many layers. */
export const kvBeside = (engine: EngineModel, { memoryMb }: LayerHost, layers: number) => (
  kvTokensBeside(engine, memoryMb, layers));

/** KV tokens of a host beside the layers that it holds. */
export const kvOfHolder = (engine: EngineModel, holder: Holder) => kvBeside(
  engine,
  holder,
  lengthOf(holder.held),
);

/** The least sum over the holders of a layer, of all layers of a range. */
function leastOver(
  holders: readonly Holder[],
  range: LayerRange,
  valueOf: (holder: Holder) => number,
): number {
  return Math.min(...layersOf(range).map((layer) => holders
    .filter(({ held }) => held.lo <= layer && held.hi > layer)
    .reduce((sum, holder) => sum + valueOf(holder), 0)));
}

/** KV tokens that the hosts of a range have together, at its layer with the fewest. */
export const kvTokensOver = (
  engine: EngineModel,
  holders: readonly Holder[],
  range: LayerRange,
) => leastOver(holders, range, (holder) => kvOfHolder(engine, holder));

/** Hosts that hold a range, at its layer with the fewest. */
export const holdersOver = (holders: readonly Holder[], range: LayerRange) => leastOver(
  holders,
  range,
  () => 1,
);
