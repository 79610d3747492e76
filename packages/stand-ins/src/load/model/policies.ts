/** The router's choice of chain and the baselines it is measured against. */
import {
  chooseChain, type Chain, type ChainQuery, type ChainStage, type StageCandidate,
} from '@verbenashunt/core';

export interface ChainPolicy {
  name: string;
  choose(query: ChainQuery): Chain | undefined;
}

type Pick = (able: readonly StageCandidate[], boundary: number) => StageCandidate | undefined;

/** Walks from boundary to boundary, each target running to the end of what it holds. */
function walk({ layers, candidates }: ChainQuery, pick: Pick): Chain | undefined {
  const stages: ChainStage[] = [];
  let boundary = 0;
  while (boundary < layers) {
    const from = boundary;
    const able = candidates.filter(({ node, lo, hi }) => lo <= from && hi > from
      && !stages.some((stage) => stage.node === node));
    const picked = pick(able, from);
    if (!picked) return undefined;
    stages.push({ node: picked.node, lo: from, hi: picked.hi });
    boundary = picked.hi;
  }
  return { stages, cost: 0 };
}

const lessLoaded = (a: StageCandidate, b: StageCandidate) => (b.active < a.active ? b : a);

export const routerPolicy = (random: () => number, samples: number): ChainPolicy => ({
  name: 'router', choose: (query) => chooseChain({ ...query, random, samples }),
});

/** The router's prediction over all candidates, without the random subset. */
export const fullViewPolicy = (): ChainPolicy => ({ name: 'full-view', choose: chooseChain });

export const randomPolicy = (random: () => number): ChainPolicy => ({
  name: 'random',
  choose: (query) => walk(query, (able) => able[Math.floor(random() * able.length)]),
});

export function roundRobinPolicy(): ChainPolicy {
  const turns = new Map<number, number>();
  return {
    name: 'round-robin',
    choose: (query) => walk(query, (able, boundary) => {
      const turn = turns.get(boundary) ?? 0;
      turns.set(boundary, turn + 1);
      return able[turn % Math.max(1, able.length)];
    }),
  };
}

export const leastLoadPolicy = (): ChainPolicy => ({
  name: 'least-load',
  choose: (query) => walk(query, (able) => (able.length === 0
    ? undefined
    : able.reduce(lessLoaded))),
});

export const powerOfTwoPolicy = (random: () => number): ChainPolicy => ({
  name: 'power-of-two',
  choose: (query) => walk(query, (able) => {
    const draw = () => able[Math.floor(random() * able.length)];
    const [a, b] = [draw(), draw()];
    return a && b && lessLoaded(a, b);
  }),
});
