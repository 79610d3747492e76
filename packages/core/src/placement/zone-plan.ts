/**
 * Placement of a model's layers on targets of several availability zones. Each zone with enough
 * memory gets a complete chain, because traffic between zones shares one link of limited bandwidth.
 * Zones that can't hold the model alone are joined. An existing placement is extended if that
 * completes a chain, as a host can drop layers only after all streams that use them have ended.
 */
import type { EngineModel } from '../serving/config.js';
import { groupBy } from '../serving/group-by.js';
import { layOutChain, type PlacedRange } from './chain-layout.js';
import { planReplicas } from './replicas.js';
import { fillGaps, type FillOptions } from './gap-filling.js';
import { findGaps, isHolder, redundantHolders } from './holders.js';
import {
  byMemory, canHold, chainKvTokens, maxKvTokens, sameRange, wantedKvTokens, type LayerHost,
} from './hosts.js';
import { layOutGroup, maxStages } from './zone-layout.js';

/** Groups of hosts that each hold complete chains: one zone, or all zones too small for one. */
export function chainGroups(engine: EngineModel, hosts: readonly LayerHost[]): LayerHost[][] {
  const zones = [...groupBy(hosts, ({ zone }) => zone).values()];
  const capable = zones.filter((zone) => canHold(engine, zone));
  const rest = zones.filter((zone) => !canHold(engine, zone)).flat();
  return rest.length > 0 ? [...capable, rest] : capable;
}

/** Ranges to load in one group, in addition to those already held. */
function planGroup(
  engine: EngineModel,
  group: readonly LayerHost[],
  options: FillOptions,
): PlacedRange[] {
  const holders = group.filter(isHolder);
  if (holders.length === 0) return canHold(engine, group) ? layOutGroup(engine, group) : [];
  const gaps = findGaps(holders.map(({ held }) => held), engine.layers);
  if (gaps.length > 0) return fillGaps(engine, group, gaps, options);
  return planReplicas(engine, group);
}

/** A group and the ranges to load in it. */
interface GroupPlan {
  group: LayerHost[];
  ranges: PlacedRange[];
}

/** Redundant hosts, if the rest of the group can form a chain with `wantedKvTokens`. */
function spareHolders(engine: EngineModel, group: readonly LayerHost[]): LayerHost[] {
  const redundant = redundantHolders(group.filter(isHolder));
  const rest = group.filter((host) => !redundant.some(({ id }) => id === host.id));
  return chainKvTokens(engine, rest) >= wantedKvTokens(engine) ? redundant : [];
}

/** New chain of a group's hosts, in the order of the layers that they hold, so that few move. */
function rebuildChain(engine: EngineModel, group: readonly LayerHost[]): PlacedRange[] {
  const spare = new Set(spareHolders(engine, group).map(({ id }) => id));
  const holders = group.filter(isHolder).filter(({ id }) => !spare.has(id))
    .sort((a, b) => a.held.lo - b.held.lo);
  const empty = group.filter((host) => !isHolder(host)).sort(byMemory);
  const [gap] = findGaps(holders.map(({ held }) => held), engine.layers);
  const before = holders.filter(({ held }) => held.lo < (gap?.lo ?? 0));
  const order = [...before, ...empty, ...holders.slice(before.length)];
  return order.length <= maxStages
    ? layOutChain(engine, order, { lo: 0, hi: engine.layers }) ?? []
    : layOutGroup(engine, group);
}

const isComplete = (engine: EngineModel, group: readonly LayerHost[]) => findGaps(
  group.flatMap(({ held }) => held ?? []),
  engine.layers,
).length === 0;

/**
 * Groups to rebuild, because they have gaps that can't be filled. While another group is complete,
 * no stream starts on them, so all are rebuilt. If none is complete, only the one with the most KV
 * tokens is rebuilt, and the others keep serving.
 */
function groupsToRebuild(engine: EngineModel, plans: readonly GroupPlan[]): LayerHost[][] {
  const broken = plans.filter(({ group, ranges }) => group.some(isHolder)
    && canHold(engine, group) && !isComplete(engine, group) && ranges.length === 0)
    .map(({ group }) => group);
  if (plans.some(({ group }) => isComplete(engine, group))) return broken;
  return broken.sort((a, b) => maxKvTokens(engine, b) - maxKvTokens(engine, a)).slice(0, 1);
}

export interface LayerPlanOptions {
  /** Hosts may drop layers if nothing else completes a chain. */
  mayMove: boolean;
  /** Hosts may drop layers that others of their group also hold, to fill a gap. */
  mayMoveReplicas: boolean;
}

/**
 * Plans the ranges that hosts should load; a host without a range in the result keeps its layers.
 * One call fills at most one gap of each group. To fill several, call again with `held` set to the
 * ranges planned before.
 */
export function planLayers(
  engine: EngineModel,
  hosts: readonly LayerHost[],
  options: LayerPlanOptions = { mayMove: true, mayMoveReplicas: true },
): PlacedRange[] {
  const plans = chainGroups(engine, hosts)
    .map((group): GroupPlan => ({ group, ranges: planGroup(engine, group, options) }));
  const held = new Map(hosts.map((host) => [host.id, host.held]));
  const broken = options.mayMove ? groupsToRebuild(engine, plans) : [];
  const ranges = [
    ...plans.flatMap((plan) => plan.ranges),
    ...broken.flatMap((group) => rebuildChain(engine, group)),
  ];
  return ranges.filter((range) => !sameRange(held.get(range.id), range));
}
