/**
 * Closes holes in the layers of a group of hosts: with hosts that hold nothing, by the neighbours
 * of the hole or with copies of other ranges, whichever leaves enough KV cache.
 */
import type { EngineModel } from '../serving/config.js';
import { layChain, type PlacedRange } from './chain-layout.js';
import {
  isHolder, kvBeside, kvOfHolder, redundantIn, type Holder,
} from './holders.js';
import {
  byMemory, lengthOf, maxKvTokens, minKvTokens, wantedKvTokens, type LayerHost, type LayerRange,
} from './hosts.js';

/** Share of the KV cache of the weakest range that hosts which fill a hole must have. */
const filledShare = 0.5;
/** Share of the KV tokens of the evenest layout that a host keeps when it closes a hole. */
const keptShare = 0.18;

/** Ranges with their worth: the fewest KV tokens that any of their hosts is left with. */
interface Filling {
  ranges: PlacedRange[];
  kvTokens: number;
}

const better = (a: Filling | undefined, b: Filling) => (a && a.kvTokens >= b.kvTokens ? a : b);

/** Fills a hole with as few hosts as leave `wanted` KV tokens, or with all of them. */
function fillWith(
  engine: EngineModel,
  hosts: readonly LayerHost[],
  hole: LayerRange,
  wanted: number,
): Filling | undefined {
  const kvOfFirst = (count: number) => maxKvTokens(engine, hosts.slice(0, count), lengthOf(hole));
  const count = hosts.findIndex((_, i) => kvOfFirst(i + 1) >= wanted) + 1 || hosts.length;
  const kvTokens = kvOfFirst(count);
  if (count === 0 || kvTokens < minKvTokens(engine)) return undefined;
  const ranges = layChain(engine, hosts.slice(0, count), hole);
  return ranges && { ranges, kvTokens };
}

/** Extends the hosts on one or both sides of a hole over it, so that most KV cache is left. */
function fillFromSides(
  engine: EngineModel,
  holders: readonly Holder[],
  hole: LayerRange,
  least: number,
): Filling | undefined {
  const size = lengthOf(hole);
  const lefts = [...holders.filter(({ held }) => held.hi === hole.lo), undefined];
  const rights = [...holders.filter(({ held }) => held.lo === hole.hi), undefined];
  const kvAfter = (host: Holder | undefined, layers: number) => {
    if (layers === 0) return Infinity;
    return host ? kvBeside(engine, host, lengthOf(host.held) + layers) : 0;
  };
  const fillings = lefts.flatMap((left) => rights.flatMap((right) => Array.from(
    { length: size + 1 },
    (_, x): Filling => ({
      kvTokens: Math.min(kvAfter(left, x), kvAfter(right, size - x)),
      ranges: [
        ...(left && x > 0 ? [{ id: left.id, lo: left.held.lo, hi: hole.lo + x }] : []),
        ...(right && x < size ? [{ id: right.id, lo: hole.lo + x, hi: right.held.hi }] : []),
      ],
    }),
  )));
  const best = fillings.reduce<Filling | undefined>(better, undefined);
  return best && best.kvTokens >= least ? best : undefined;
}

/** KV tokens that a host must keep. */
const keptTokens = (engine: EngineModel, group: readonly LayerHost[]) => Math
  .max(minKvTokens(engine), keptShare * maxKvTokens(engine, group));

export interface FillOptions {
  /** Copies may be taken from where they are. */
  mayMoveCopies: boolean;
}

/** Ranges that close one hole; undefined where none do. */
function fillHole(
  engine: EngineModel,
  group: readonly LayerHost[],
  hole: LayerRange,
  { mayMoveCopies }: FillOptions,
): PlacedRange[] | undefined {
  const holders = group.filter(isHolder);
  const empty = group.filter((host) => !isHolder(host)).sort(byMemory);
  const spare = [...empty, ...mayMoveCopies ? redundantIn(holders) : []];
  const wanted = filledShare * Math.min(...holders.map((holder) => kvOfHolder(engine, holder)));
  const byEmpty = fillWith(engine, empty, hole, wanted);
  if (byEmpty && byEmpty.kvTokens >= wanted) return byEmpty.ranges;
  const fillings = [
    fillFromSides(engine, holders, hole, wantedKvTokens(engine)),
    fillWith(engine, spare, hole, wanted),
    byEmpty,
    fillFromSides(engine, holders, hole, keptTokens(engine, group)),
  ];
  return fillings.find((filling) => filling !== undefined)?.ranges;
}

/** Closes the first hole that can be closed; empty when none can. */
export function fillHoles(
  engine: EngineModel,
  group: readonly LayerHost[],
  holes: readonly LayerRange[],
  options: FillOptions,
): PlacedRange[] {
  const fillings = holes.map((hole) => fillHole(engine, group, hole, options));
  return fillings.find((ranges) => ranges !== undefined) ?? [];
}
