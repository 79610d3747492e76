/**
 * Fills gaps in the layers that a group of hosts holds: with hosts that hold nothing, by extending
 * the ranges next to the gap, or with redundant hosts, whichever leaves enough KV cache.
 */
import type { EngineModel } from '../serving/config.js';
import { layOutChain, type PlacedRange } from './chain-layout.js';
import {
  isHolder, hostKvTokens, holderKvTokens, redundantHolders, type Holder,
} from './holders.js';
import {
  byMemory, countLayers, maxKvTokens, minKvTokens, wantedKvTokens, type LayerHost, type LayerRange,
} from './hosts.js';

/**
 * Hosts that fill a gap should have KV tokens for at least this share of those of the group's
 * holder with the fewest.
 */
const fillKvShare = 0.5;
/**
 * Share of the group's `maxKvTokens` that a host must keep when it is extended over a gap, if no
 * other way fills it.
 */
const minKvShare = 0.18;

/** Ranges that fill a gap, and the lowest KV tokens that any of their hosts has then. */
interface GapFill {
  ranges: PlacedRange[];
  kvTokens: number;
}

const betterFill = (a: GapFill | undefined, b: GapFill) => (a && a.kvTokens >= b.kvTokens ? a : b);

/**
 * Fills a gap with as few hosts as have `wanted` KV tokens each, or else with all of them.
 * Undefined if they would have less than `minKvTokens`.
 */
function fillWithHosts(
  engine: EngineModel,
  hosts: readonly LayerHost[],
  gap: LayerRange,
  wanted: number,
): GapFill | undefined {
  const kvTokensOfFirst = (count: number) => (
    maxKvTokens(engine, hosts.slice(0, count), countLayers(gap)));
  const count = hosts.findIndex((_, i) => kvTokensOfFirst(i + 1) >= wanted) + 1 || hosts.length;
  const kvTokens = kvTokensOfFirst(count);
  if (count === 0 || kvTokens < minKvTokens(engine)) return undefined;
  const ranges = layOutChain(engine, hosts.slice(0, count), gap);
  return ranges && { ranges, kvTokens };
}

/**
 * Extends hosts on one or both sides of a gap over it, with the split that leaves the most KV
 * tokens; undefined if that is less than `minTokens`.
 */
function extendNeighbours(
  engine: EngineModel,
  holders: readonly Holder[],
  gap: LayerRange,
  minTokens: number,
): GapFill | undefined {
  const size = countLayers(gap);
  const lefts = [...holders.filter(({ held }) => held.hi === gap.lo), undefined];
  const rights = [...holders.filter(({ held }) => held.lo === gap.hi), undefined];
  const kvTokensAfter = (host: Holder | undefined, layers: number) => {
    if (layers === 0) return Infinity;
    return host ? hostKvTokens(engine, host, countLayers(host.held) + layers) : 0;
  };
  const fills = lefts.flatMap((left) => rights.flatMap((right) => Array.from(
    { length: size + 1 },
    (_, leftLayers): GapFill => ({
      kvTokens: Math.min(kvTokensAfter(left, leftLayers), kvTokensAfter(right, size - leftLayers)),
      ranges: [
        ...(left && leftLayers > 0
          ? [{ id: left.id, lo: left.held.lo, hi: gap.lo + leftLayers }] : []),
        ...(right && leftLayers < size
          ? [{ id: right.id, lo: gap.lo + leftLayers, hi: right.held.hi }] : []),
      ],
    }),
  )));
  const best = fills.reduce<GapFill | undefined>(betterFill, undefined);
  return best && best.kvTokens >= minTokens ? best : undefined;
}

/** KV tokens that a host must keep when it is extended over a gap. */
const minRetainedKvTokens = (engine: EngineModel, group: readonly LayerHost[]) => Math
  .max(minKvTokens(engine), minKvShare * maxKvTokens(engine, group));

export interface FillOptions {
  /** Redundant hosts may give up their layers to fill a gap. */
  mayMoveReplicas: boolean;
}

/** Ranges that fill a gap; undefined if nothing can. */
function fillGap(
  engine: EngineModel,
  group: readonly LayerHost[],
  gap: LayerRange,
  { mayMoveReplicas }: FillOptions,
): PlacedRange[] | undefined {
  const holders = group.filter(isHolder);
  const empty = group.filter((host) => !isHolder(host)).sort(byMemory);
  const available = [...empty, ...mayMoveReplicas ? redundantHolders(holders) : []];
  const wanted = fillKvShare * Math.min(...holders.map((holder) => holderKvTokens(engine, holder)));
  const emptyFill = fillWithHosts(engine, empty, gap, wanted);
  if (emptyFill && emptyFill.kvTokens >= wanted) return emptyFill.ranges;
  const fills = [
    extendNeighbours(engine, holders, gap, wantedKvTokens(engine)),
    fillWithHosts(engine, available, gap, wanted),
    emptyFill,
    extendNeighbours(engine, holders, gap, minRetainedKvTokens(engine, group)),
  ];
  return fills.find((fill) => fill !== undefined)?.ranges;
}

/** Fills the first gap that can be filled; empty if none can. */
export function fillGaps(
  engine: EngineModel,
  group: readonly LayerHost[],
  gaps: readonly LayerRange[],
  options: FillOptions,
): PlacedRange[] {
  const fills = gaps.map((gap) => fillGap(engine, group, gap, options));
  return fills.find((ranges) => ranges !== undefined) ?? [];
}
