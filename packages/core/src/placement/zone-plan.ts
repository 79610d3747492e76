/**
 * Placement of a model's layers on targets of several availability zones: a whole chain inside each
 * zone whose memory allows one, since what crosses zones shares one narrow pipe. Zones that can't
 * hold the model alone are joined. A placement in force is added to where that completes a chain:
 * layers that are given up first have to wait for every stream that passes through them.
 */
import type { EngineModel } from '../serving/config.js';
import { groupBy } from '../serving/group-by.js';
import { layChain, type PlacedRange } from './chain-layout.js';
import { copiesFor } from './copies.js';
import { fillHoles, type FillOptions } from './hole-filling.js';
import { holesIn, isHolder, redundantIn } from './holders.js';
import {
  byMemory, canHold, layoutKvTokens, maxKvTokens, sameRange, wantedKvTokens, type LayerHost,
} from './hosts.js';
import { layGroup, maxStages } from './zone-layout.js';

/** Hosts that together are to hold whole chains. */
export function chainGroups(engine: EngineModel, hosts: readonly LayerHost[]): LayerHost[][] {
  const zones = [...groupBy(hosts, ({ zone }) => zone).values()];
  const able = zones.filter((zone) => canHold(engine, zone));
  const rest = zones.filter((zone) => !canHold(engine, zone)).flat();
  return rest.length > 0 ? [...able, rest] : able;
}

/** Ranges to order for one group, beside those that stand. */
function planGroup(
  engine: EngineModel,
  group: readonly LayerHost[],
  options: FillOptions,
): PlacedRange[] {
  const holders = group.filter(isHolder);
  if (holders.length === 0) return canHold(engine, group) ? layGroup(engine, group) : [];
  const holes = holesIn(holders.map(({ held }) => held), engine.layers);
  if (holes.length > 0) return fillHoles(engine, group, holes, options);
  return copiesFor(engine, group);
}

interface GroupPlan {
  group: LayerHost[];
  ranges: PlacedRange[];
}

/** Hosts of a group that are not needed for a chain with enough KV cache. */
function dispensable(engine: EngineModel, group: readonly LayerHost[]): LayerHost[] {
  const redundant = redundantIn(group.filter(isHolder));
  const rest = group.filter((host) => !redundant.some(({ id }) => id === host.id));
  return layoutKvTokens(engine, rest) >= wantedKvTokens(engine) ? redundant : [];
}

/** A chain of the hosts of a group in the order of what they hold, so that few layers move. */
function layAnew(engine: EngineModel, group: readonly LayerHost[]): PlacedRange[] {
  const copies = new Set(dispensable(engine, group).map(({ id }) => id));
  const holders = group.filter(isHolder).filter(({ id }) => !copies.has(id))
    .sort((a, b) => a.held.lo - b.held.lo);
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
  /** Hosts may give layers up that others of their group hold too, to close a hole. */
  mayMoveCopies: boolean;
}

/**
 * Ranges that hosts are to hold and do not hold now, group by group. A host that isn't named keeps
 * what it holds. Filling several holes takes several calls, each with the orders before under way.
 */
export function planLayers(
  engine: EngineModel,
  hosts: readonly LayerHost[],
  options: LayerPlanOptions = { mayMove: true, mayMoveCopies: true },
): PlacedRange[] {
  const plans = chainGroups(engine, hosts)
    .map((group): GroupPlan => ({ group, ranges: planGroup(engine, group, options) }));
  const held = new Map(hosts.map((host) => [host.id, host.held]));
  const broken = options.mayMove ? beyondRepair(engine, plans) : [];
  const ranges = [
    ...plans.flatMap((plan) => plan.ranges),
    ...broken.flatMap((group) => layAnew(engine, group)),
  ];
  return ranges.filter((range) => !sameRange(held.get(range.id), range));
}
