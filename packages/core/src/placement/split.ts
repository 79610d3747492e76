/** Division of a fleet's targets among its models in proportion to their demand. */
import {
  fittingLayers, layerRate, type Fleet, type FleetModel, type FleetTarget,
} from './fleet.js';

export interface ModelGroup {
  model: FleetModel;
  targets: FleetTarget[];
}

/** Price of a target that would have to give up layers which it holds of another model. */
const movePenalty = 1.05;

interface Filling extends ModelGroup {
  /** Requests per second that the group's speed would carry, per share of the demand. */
  filled: number;
  /** Layers that fit into the group. */
  memory: number;
}

function need(filling: Filling, target: FleetTarget): number {
  const { held } = target;
  return (filling.filled + 1e-12) * (held && held.model !== filling.model.name ? movePenalty : 1);
}

/** Gives each target, fastest first, to the model that is shortest of speed for its demand. */
export function splitByModel({ targets, models }: Fleet): ModelGroup[] {
  const groups = models
    .map((model): Filling => ({
      model, targets: [], filled: 0, memory: 0,
    }));
  [...targets]
    .sort((a, b) => layerRate(b, models[0]!) - layerRate(a, models[0]!))
    .forEach((target) => {
      const able = groups.filter(({ model }) => fittingLayers(target, model) > 0);
      const poorest = able
        .reduce<Filling | undefined>((best, group) => (
          !best || need(group, target) < need(best, target) ? group : best), undefined);
      if (!poorest) return;
      const { model } = poorest;
      const demand = Math.max(model.share * model.layers, Number.EPSILON);
      poorest.targets.push(target);
      poorest.filled += layerRate(target, model) / demand;
      poorest.memory += fittingLayers(target, model);
    });
  return groups;
}
