/** Divides the targets of a fleet among its models in proportion to their demand. */
import {
  fittingLayers, layerRate, type Fleet, type FleetModel, type FleetTarget,
} from './fleet.js';

export interface ModelGroup {
  model: FleetModel;
  targets: FleetTarget[];
}

/** Makes a group less likely to get a target that holds layers of another model. */
const movePenalty = 1.05;

/** A group while targets are assigned to it. */
interface GroupCapacity extends ModelGroup {
  /** Requests per second over all models for which this group is fast enough. */
  supportedRate: number;
  /** Layers that fit into the memory of the group. */
  memoryLayers: number;
}

/** Rate that the group supports, raised if the target would have to drop another model's layers. */
function weightedRate(group: GroupCapacity, target: FleetTarget): number {
  const { held } = target;
  return (group.supportedRate + 1e-12)
    * (held && held.model !== group.model.name ? movePenalty : 1);
}

/** Assigns each target, fastest first, to the model whose group supports the lowest rate. */
export function splitByModel({ targets, models }: Fleet): ModelGroup[] {
  const groups = models
    .map((model): GroupCapacity => ({
      model, targets: [], supportedRate: 0, memoryLayers: 0,
    }));
  [...targets]
    .sort((a, b) => layerRate(b, models[0]!) - layerRate(a, models[0]!))
    .forEach((target) => {
      const eligible = groups.filter(({ model }) => fittingLayers(target, model) > 0);
      const slowest = eligible
        .reduce<GroupCapacity | undefined>((best, group) => (
          !best || weightedRate(group, target) < weightedRate(best, target) ? group : best
        ), undefined);
      if (!slowest) return;
      const { model } = slowest;
      const demand = Math.max(model.share * model.layers, Number.EPSILON);
      slowest.targets.push(target);
      slowest.supportedRate += layerRate(target, model) / demand;
      slowest.memoryLayers += fittingLayers(target, model);
    });
  return groups;
}
