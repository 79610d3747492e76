/** Plans stages based on the layers that targets hold now, so that few layers are loaded. */
import { assignMembers, improveStages } from './balance.js';
import type { ModelGroup } from './split.js';
import { toMember, type Member, type Stage } from './stages.js';

interface Span {
  lo: number;
  hi: number;
}

/**
 * Consecutive ranges that are held now and cover all layers without overlap, starting at `from`.
 * Of the ranges that start at a layer, the one with the most holders is preferred.
 */
function findTiling(held: readonly Span[], layers: number, from = 0): Span[] | undefined {
  if (from === layers) return [];
  const counts = new Map<number, number>();
  held.filter(({ lo }) => lo === from)
    .forEach(({ hi }) => counts.set(hi, (counts.get(hi) ?? 0) + 1));
  const ends = [...counts].filter(([hi]) => hi <= layers).sort((a, b) => b[1] - a[1]);
  return ends.reduce<Span[] | undefined>((found, [hi]) => {
    if (found) return found;
    const rest = findTiling(held, layers, hi);
    return rest && [{ lo: from, hi }, ...rest];
  }, undefined);
}

const holds = ({ target }: Member, model: string, { lo, hi }: Span) => target.held !== undefined
  && target.held.model === model && target.held.lo <= lo && target.held.hi >= hi;

/**
 * Stages of the current placement without lost targets; targets that hold no stage are assigned to
 * the stages with the lowest throughput. Undefined if the ranges held now don't tile the layers.
 */
export function repairedStages({ model, targets }: ModelGroup): Stage[] | undefined {
  const members = targets.map((target) => toMember(target, model));
  const held = members.flatMap(({ target }) => (target.held?.model === model.name
    ? [target.held] : []));
  const spans = findTiling(held, model.layers);
  if (!spans) return undefined;
  const placed = new Set<Member>();
  const stages = spans.map((span): Stage => {
    const own = members.filter((m) => !placed.has(m) && holds(m, model.name, span));
    own.forEach((m) => placed.add(m));
    return {
      length: span.hi - span.lo, members: own, rate: own.reduce((sum, m) => sum + m.rate, 0),
    };
  });
  assignMembers(stages, members.filter((m) => !placed.has(m)));
  return stages;
}

/** The repaired stages, improved by a search that also moves targets which hold layers now. */
export function rebalancedStages(group: ModelGroup): Stage[] | undefined {
  const stages = repairedStages(group);
  if (stages) improveStages(stages, false);
  return stages;
}
