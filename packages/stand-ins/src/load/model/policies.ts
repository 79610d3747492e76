/** Policies for the choice of a chain: the router's own, and baselines to compare it with. */
import {
  chooseChain, type Chain, type ChainQuery, type ChainStage, type StageCandidate,
} from '@verbenashunt/core';

export interface ChainPolicy {
  name: string;
  choose(query: ChainQuery): Chain | undefined;
}

/** Picks one of the eligible candidates for the stage that starts at layer `boundary`. */
type PickCandidate = (
  eligible: readonly StageCandidate[],
  boundary: number,
) => StageCandidate | undefined;

/** Builds a chain stage by stage; each stage runs to the last layer that its target holds. */
function buildChain({ layers, candidates }: ChainQuery, pick: PickCandidate): Chain | undefined {
  const stages: ChainStage[] = [];
  let boundary = 0;
  while (boundary < layers) {
    const from = boundary;
    const eligible = candidates.filter(({ node, lo, hi }) => lo <= from && hi > from
      && !stages.some((stage) => stage.node === node));
    const picked = pick(eligible, from);
    if (!picked) return undefined;
    stages.push({ node: picked.node, lo: from, hi: picked.hi });
    boundary = picked.hi;
  }
  return { stages, cost: 0 };
}

const lessLoaded = (a: StageCandidate, b: StageCandidate) => (b.active < a.active ? b : a);

/** The router's choice from `samples` random candidates for each range of layers. */
export const routerPolicy = (random: () => number, samples: number): ChainPolicy => ({
  name: 'router', choose: (query) => chooseChain({ ...query, random, samples }),
});

/** The router's choice from all candidates instead of a random sample. */
export const fullViewPolicy = (): ChainPolicy => ({ name: 'full-view', choose: chooseChain });

export const randomPolicy = (random: () => number): ChainPolicy => ({
  name: 'random',
  choose: (query) => buildChain(
    query,
    (eligible) => eligible[Math.floor(random() * eligible.length)],
  ),
});

export function roundRobinPolicy(): ChainPolicy {
  /** Number of picks so far, by the first layer of the stage. */
  const pickCounts = new Map<number, number>();
  return {
    name: 'round-robin',
    choose: (query) => buildChain(query, (eligible, boundary) => {
      const turn = pickCounts.get(boundary) ?? 0;
      pickCounts.set(boundary, turn + 1);
      return eligible[turn % Math.max(1, eligible.length)];
    }),
  };
}

export const leastLoadPolicy = (): ChainPolicy => ({
  name: 'least-load',
  choose: (query) => buildChain(query, (eligible) => (eligible.length === 0
    ? undefined
    : eligible.reduce(lessLoaded))),
});

export const powerOfTwoPolicy = (random: () => number): ChainPolicy => ({
  name: 'power-of-two',
  choose: (query) => buildChain(query, (eligible) => {
    const draw = () => eligible[Math.floor(random() * eligible.length)];
    const [a, b] = [draw(), draw()];
    return a && b && lessLoaded(a, b);
  }),
});
