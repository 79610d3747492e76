/**
 * Placement of a model's layers on targets of several availability zones: a whole chain inside each
 * zone whose memory allows one, since what crosses zones shares one narrow pipe. Zones that can't
 * hold the model alone are joined. A placement in force is added to where that completes a chain:
 * layers that are given up first have to wait for every stream that passes through them.
 */
import type { EngineModel } from '../serving/config.js';
import { groupBy } from '../serving/group-by.js';
import { layChain, type PlacedRange } from './chain-layout.js';
import {
  canHold, lengthOf, maxKvTokens, minKvTokens, sameRange, type LayerHost, type LayerRange,
} from './hosts.js';
import { kvTokensBeside } from './memory.js';

/** Stages that a chain may have. */
const maxStages = 28;
/** Share of the KV cache of a range that its copy must have room for. */
const copyShare = 0.5;
/** Share of the KV tokens of the evenest layout that a host keeps when it closes a hole. */
const keptShare = 0.18;

const byMemory = (a: LayerHost, b: LayerHost) => b.memoryMb - a.memoryMb
  || a.stepFactor - b.stepFactor
  || (a.id < b.id ? -1 : 1);

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

/** Hosts that together are to hold whole chains. */
export function chainGroups(engine: EngineModel, hosts: readonly LayerHost[]): LayerHost[][] {
  const zones = [...groupBy(hosts, ({ zone }) => zone).values()];
  const able = zones.filter((zone) => canHold(engine, zone));
  const rest = zones.filter((zone) => !canHold(engine, zone)).flat();
  return rest.length > 0 ? [...able, rest] : able;
}

/** Divides hosts into as few sets as a chain's length allows, each with a like share of speeds. */
function divide(engine: EngineModel, hosts: readonly LayerHost[]): LayerHost[][] {
  const count = Math.ceil(hosts.length / maxStages);
  const sorted = [...hosts].sort(byMemory);
  const sets = Array.from({ length: count }, (_, k) => sorted.filter((__, i) => i % count === k));
  return sets.filter((set) => canHold(engine, set));
}

const layGroup = (engine: EngineModel, hosts: readonly LayerHost[]) => divide(engine, hosts)
  .flatMap((set) => layChain(engine, interleaved(set), { lo: 0, hi: engine.layers }) ?? []);

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

interface Holder extends LayerHost {
  held: LayerRange;
}

const isHolder = (host: LayerHost): host is Holder => host.held !== undefined
  && lengthOf(host.held) > 0;

const kvOf = (engine: EngineModel, { memoryMb }: LayerHost, layers: number) => kvTokensBeside(
  engine,
  memoryMb,
  layers,
);

/** Ranges with their worth: the fewest KV tokens that any of their hosts is left with. */
interface Filling {
  ranges: PlacedRange[];
  kvTokens: number;
}

const better = (a: Filling | undefined, b: Filling) => (a && a.kvTokens >= b.kvTokens ? a : b);

/** Fills a hole with as few empty hosts as leave `wanted` KV tokens, or with all of them. */
function fillWithEmpty(
  engine: EngineModel,
  empty: readonly LayerHost[],
  hole: LayerRange,
  wanted: number,
): Filling | undefined {
  const kvOfFirst = (count: number) => maxKvTokens(engine, empty.slice(0, count), lengthOf(hole));
  const count = empty.findIndex((_, i) => kvOfFirst(i + 1) >= wanted) + 1 || empty.length;
  const kvTokens = kvOfFirst(count);
  if (count === 0 || kvTokens < minKvTokens(engine)) return undefined;
  const ranges = layChain(engine, empty.slice(0, count), hole);
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
    return host ? kvOf(engine, host, lengthOf(host.held) + layers) : 0;
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

/** KV tokens that the hosts of a range have together, at its layer with the fewest. */
function kvTokensOver(engine: EngineModel, holders: readonly Holder[], range: LayerRange): number {
  const layers = Array.from({ length: lengthOf(range) }, (_, i) => range.lo + i);
  return Math.min(...layers.map((layer) => holders
    .filter(({ held }) => held.lo <= layer && held.hi > layer)
    .reduce((sum, holder) => sum + kvOf(engine, holder, lengthOf(holder.held)), 0)));
}

const keptTokens = (engine: EngineModel, group: readonly LayerHost[]) => Math
  .max(minKvTokens(engine), keptShare * maxKvTokens(engine, group));

/** Fills the first hole that can be filled; empty when none can. */
function fillHoles(
  engine: EngineModel,
  group: readonly LayerHost[],
  holes: readonly LayerRange[],
): PlacedRange[] {
  const holders = group.filter(isHolder);
  const empty = group.filter((host) => !isHolder(host)).sort(byMemory);
  const wanted = copyShare * Math.min(
    ...holders.map((holder) => kvOf(engine, holder, lengthOf(holder.held))),
  );
  const fillings = holes.flatMap((hole) => fillWithEmpty(engine, empty, hole, wanted)
    ?? fillFromSides(engine, holders, hole, keptTokens(engine, group))
    ?? []);
  return fillings[0]?.ranges ?? [];
}

/** A copy of the range with the least KV cache, for a host that holds nothing. */
function copyFor(
  engine: EngineModel,
  holders: readonly Holder[],
  host: LayerHost,
): Holder | undefined {
  const kvNow = ({ held }: Holder) => kvTokensOver(engine, holders, held);
  const weakest = holders
    .filter((holder) => kvOf(engine, host, lengthOf(holder.held))
      >= copyShare * kvOf(engine, holder, lengthOf(holder.held)))
    .reduce<Holder | undefined>((worst, holder) => (
      !worst || kvNow(holder) < kvNow(worst) ? holder : worst), undefined);
  return weakest && { ...host, held: weakest.held };
}

/** Copies for all empty hosts, each counted before the next is chosen. */
const copies = (engine: EngineModel, group: readonly LayerHost[]) => group
  .filter((host) => !isHolder(host))
  .reduce((holders, host) => {
    const copy = copyFor(engine, holders, host);
    return copy ? [...holders, copy] : holders;
  }, group.filter(isHolder))
  .map(({ id, held }): PlacedRange => ({ id, ...held }));

/** Ranges to order for one group, beside those that stand. */
function planGroup(engine: EngineModel, group: readonly LayerHost[]): PlacedRange[] {
  const holders = group.filter(isHolder);
  if (holders.length === 0) return canHold(engine, group) ? layGroup(engine, group) : [];
  const holes = holesIn(holders.map(({ held }) => held), engine.layers);
  if (holes.length > 0) return fillHoles(engine, group, holes);
  return copies(engine, group);
}

interface GroupPlan {
  group: LayerHost[];
  ranges: PlacedRange[];
}

/** A chain of all hosts of a group in the order of what they hold, so that few layers move. */
function layAnew(engine: EngineModel, group: readonly LayerHost[]): PlacedRange[] {
  const holders = group.filter(isHolder).sort((a, b) => a.held.lo - b.held.lo);
  const empty = group.filter((host) => !isHolder(host)).sort(byMemory);
  const [hole] = holesIn(holders.map(({ held }) => held), engine.layers);
  const before = holders.filter(({ held }) => held.lo < (hole?.lo ?? 0));
  const order = [...before, ...empty, ...holders.slice(before.length)];
  return order.length <= maxStages
    ? layChain(engine, order, { lo: 0, hi: engine.layers }) ?? []
    : layGroup(engine, group);
}

const isComplete = (engine: EngineModel, group: readonly LayerHost[]) => holesIn(
  group.flatMap(({ held }) => held ?? []),
  engine.layers,
).length === 0;

/**
 * Groups to lay out anew, as holes are left in them that can't be filled. No stream begins on such
 * a group while another is complete; where none is, one is mended and the others serve on.
 */
function beyondRepair(engine: EngineModel, plans: readonly GroupPlan[]): LayerHost[][] {
  const broken = plans.filter(({ group, ranges }) => group.some(isHolder)
    && canHold(engine, group) && !isComplete(engine, group) && ranges.length === 0)
    .map(({ group }) => group);
  if (plans.some(({ group }) => isComplete(engine, group))) return broken;
  return broken.sort((a, b) => maxKvTokens(engine, b) - maxKvTokens(engine, a)).slice(0, 1);
}

export interface LayerPlanOptions {
  /** Hosts may give layers up, where nothing else completes a chain. */
  mayMove: boolean;
}

/**
 * Ranges that hosts are to hold and do not hold now, group by group. A host that isn't named keeps
 * what it holds. Filling several holes takes several calls, each with the orders before under way.
 */
export function planLayers(
  engine: EngineModel,
  hosts: readonly LayerHost[],
  { mayMove }: LayerPlanOptions = { mayMove: true },
): PlacedRange[] {
  const plans = chainGroups(engine, hosts)
    .map((group): GroupPlan => ({ group, ranges: planGroup(engine, group) }));
  const held = new Map(hosts.map((host) => [host.id, host.held]));
  const ranges = [
    ...plans.flatMap((plan) => plan.ranges),
    ...(mayMove ? beyondRepair(engine, plans) : []).flatMap((group) => layAnew(engine, group)),
  ];
  return ranges.filter((range) => !sameRange(held.get(range.id), range));
}
