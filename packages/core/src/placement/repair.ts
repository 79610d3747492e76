/** Re-planning from the layers that targets hold now, so that few weights move. */
import { deal, search } from './balance.js';
import type { ModelGroup } from './split.js';
import { toMember, type Member, type Stage } from './stages.js';

interface Cut {
  lo: number;
  hi: number;
}

/** Ranges held now that tile the layers, each the one most often held from its first layer. */
function tiling(held: readonly Cut[], layers: number, from = 0): Cut[] | undefined {
  if (from === layers) return [];
  const counts = new Map<number, number>();
  held.filter(({ lo }) => lo === from)
    .forEach(({ hi }) => counts.set(hi, (counts.get(hi) ?? 0) + 1));
  const ends = [...counts].filter(([hi]) => hi <= layers).sort((a, b) => b[1] - a[1]);
  return ends.reduce<Cut[] | undefined>((found, [hi]) => {
    if (found) return found;
    const rest = tiling(held, layers, hi);
    return rest && [{ lo: from, hi }, ...rest];
  }, undefined);
}

const holds = ({ target }: Member, model: string, { lo, hi }: Cut) => target.held !== undefined
  && target.held.model === model && target.held.lo <= lo && target.held.hi >= hi;

/**
 * Stages of the placement in force with lost targets left out and new ones dealt to the stages
 * short of speed. Undefined when what is held does not tile the layers.
 */
export function repairedStages({ model, targets }: ModelGroup): Stage[] | undefined {
  const members = targets.map((target) => toMember(target, model));
  const held = members.flatMap(({ target }) => (target.held?.model === model.name
    ? [target.held] : []));
  const cuts = tiling(held, model.layers);
  if (!cuts) return undefined;
  const placed = new Set<Member>();
  const stages = cuts.map((cut): Stage => {
    const own = members.filter((m) => !placed.has(m) && holds(m, model.name, cut));
    own.forEach((m) => placed.add(m));
    return {
      length: cut.hi - cut.lo, members: own, rate: own.reduce((sum, m) => sum + m.rate, 0),
    };
  });
  deal(stages, members.filter((m) => !placed.has(m)));
  return stages;
}

/** The repaired stages after the search has also moved targets that hold layers now. */
export function rebalancedStages(group: ModelGroup): Stage[] | undefined {
  const stages = repairedStages(group);
  if (stages) search(stages, false);
  return stages;
}
