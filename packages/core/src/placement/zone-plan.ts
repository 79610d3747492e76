/**
 * Placement of a model's layers on targets of several availability zones: a whole chain inside each
 * zone whose memory allows one, since what crosses zones shares one narrow pipe. Zones that can't
 * hold the model alone are joined. From a placement in force it fills holes with the fewest moves.
 */
import type { EngineModel } from '../serving/config.js';
import { groupBy } from '../serving/group-by.js';
import { layChain, type PlacedRange } from './chain-layout.js';
import {
  canHold, lengthOf, maxKvTokens, type LayerHost, type LayerRange,
} from './hosts.js';
import { kvTokensBeside } from './memory.js';

/** Stages that a chain may have. */
const maxStages = 28;
/** Share of its best KV tokens that a chain may be left with by a repair that moves few layers. */
const repairShare = 0.5;

/** Fast accelerators first, so that the first stage, which takes no replacement, is seldom slow. */
const bySpeed = (a: LayerHost, b: LayerHost) => a.stepFactor - b.stepFactor
  || (a.id < b.id ? -1 : 1);

/** Hosts that together are to hold whole chains. */
export function chainGroups(engine: EngineModel, hosts: readonly LayerHost[]): LayerHost[][] {
  const zones = [...groupBy(hosts, ({ zone }) => zone).values()];
  const able = zones.filter((zone) => canHold(engine, zone));
  const rest = zones.filter((zone) => !canHold(engine, zone)).flat();
  return canHold(engine, rest) ? [...able, rest] : able;
}

/** Divides hosts into as few sets as a chain's length allows, each with a like share of speeds. */
function divide(engine: EngineModel, hosts: readonly LayerHost[]): LayerHost[][] {
  const count = Math.ceil(hosts.length / maxStages);
  const sorted = [...hosts].sort(bySpeed);
  const sets = Array.from({ length: count }, (_, k) => sorted.filter((__, i) => i % count === k));
  return sets.filter((set) => canHold(engine, set));
}

const layGroup = (engine: EngineModel, hosts: readonly LayerHost[]) => divide(engine, hosts)
  .flatMap((set) => layChain(engine, set, { lo: 0, hi: engine.layers }) ?? []);

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

/** Layers from the first to the last that the hosts of a window or its hole hold. */
const spanOf = (window: readonly LayerHost[], hole: LayerRange): LayerRange => window
  .filter(isHolder)
  .reduce(({ lo, hi }, { held }) => ({
    lo: Math.min(lo, held.lo), hi: Math.max(hi, held.hi),
  }), hole);

/** Windows around a hole: the empty hosts alone, then more and more neighbours on both sides. */
function windowsAround(
  hole: LayerRange,
  holders: readonly Holder[],
  empty: readonly LayerHost[],
): LayerHost[][] {
  const left = holders.filter(({ held }) => held.hi <= hole.lo)
    .sort((a, b) => b.held.hi - a.held.hi);
  const right = holders.filter(({ held }) => held.lo >= hole.hi)
    .sort((a, b) => a.held.lo - b.held.lo);
  const steps = Math.max(left.length, right.length);
  return Array.from({ length: steps + 1 }, (_, k) => [
    ...left.slice(0, k).reverse(), ...empty, ...right.slice(0, k),
  ]);
}

/** Fills a hole from the smallest window that leaves enough KV cache. */
function fillHole(
  engine: EngineModel,
  group: readonly LayerHost[],
  hole: LayerRange,
): PlacedRange[] {
  const holders = group.filter(isHolder);
  const empty = group.filter((host) => !isHolder(host)).sort(bySpeed);
  const wanted = repairShare * maxKvTokens(engine, group);
  const window = windowsAround(hole, holders, empty).find((hosts) => hosts.length > 0
    && maxKvTokens(engine, hosts, lengthOf(spanOf(hosts, hole))) >= wanted);
  return window ? layChain(engine, window, spanOf(window, hole)) ?? [] : [];
}

/** A copy of the range with the least KV cache, for a host that holds nothing. */
function reinforce(
  engine: EngineModel,
  holders: readonly Holder[],
  host: LayerHost,
): PlacedRange | undefined {
  const kvOf = ({ memoryMb, held }: Holder) => kvTokensBeside(engine, memoryMb, lengthOf(held));
  const able = holders.filter((holder) => kvTokensBeside(
    engine,
    host.memoryMb,
    lengthOf(holder.held),
  ) >= repairShare * kvOf(holder));
  const weakest = able.reduce<Holder | undefined>((worst, holder) => (
    !worst || kvOf(holder) < kvOf(worst) ? holder : worst), undefined);
  return weakest && { id: host.id, ...weakest.held };
}

/** Ranges to order for one group; empty when nothing is to change. */
function planGroup(engine: EngineModel, group: readonly LayerHost[]): PlacedRange[] {
  const holders = group.filter(isHolder);
  if (holders.length === 0) return layGroup(engine, group);
  const [hole] = holesIn(holders.map(({ held }) => held), engine.layers);
  if (hole) {
    const filled = fillHole(engine, group, hole);
    return filled.length > 0 ? filled : layGroup(engine, group);
  }
  return group.filter((host) => !isHolder(host))
    .flatMap((host) => reinforce(engine, holders, host) ?? []);
}

/**
 * Ranges that hosts are to hold and do not hold now, group by group. A host that isn't named keeps
 * what it holds. Filling several holes takes several calls, each with the orders before under way.
 */
export function planLayers(engine: EngineModel, hosts: readonly LayerHost[]): PlacedRange[] {
  const held = new Map(hosts.map((host) => [host.id, host.held]));
  return chainGroups(engine, hosts)
    .flatMap((group) => planGroup(engine, group))
    .filter(({ id, lo, hi }) => held.get(id)?.lo !== lo || held.get(id)?.hi !== hi);
}
