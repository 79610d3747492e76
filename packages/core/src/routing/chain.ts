/**
 * Choice of the chain of targets for a request: a shortest path over layer boundaries,
 * whose edges are runs of layers on one target.
 */
import {
  hasRoom, layerCostMs, type RequestSize, type StageCandidate,
} from './predict.js';
import { sampleByRange } from './sample.js';

export interface ChainStage {
  node: string;
  lo: number;
  hi: number;
}

export interface Chain {
  stages: ChainStage[];
  /** Predicted milliseconds for the request. */
  cost: number;
}

export interface ChainQuery {
  /** Layers of the model. */
  layers: number;
  candidates: readonly StageCandidate[];
  /** One-way milliseconds between two targets; undefined stands for the entry. */
  linkMs(from: StageCandidate | undefined, to: StageCandidate): number;
  /** Expected size of the request; one token of each when absent. */
  size?: RequestSize;
  /** Random numbers for the subset; all candidates are compared when absent. */
  random?: () => number;
  /** Candidates compared for each range of layers. */
  samples?: number;
}

/** Candidates compared for each range of layers unless told otherwise. */
export const defaultSamples = 3;

const oneToken: RequestSize = { promptTokens: 1, answerTokens: 1 };

/** A way to reach a boundary, linked to the way to the boundary before. */
interface Path {
  candidate: StageCandidate | undefined;
  lo: number;
  hi: number;
  before: Path | undefined;
  cost: number;
}

const visits = (path: Path | undefined, node: string): boolean => path !== undefined
  && (path.candidate?.node === node || visits(path.before, node));

function stagesOf(path: Path): ChainStage[] {
  const { candidate, lo, hi } = path;
  if (!candidate) return [];
  return [...stagesOf(path.before!), { node: candidate.node, lo, hi }];
}

const cheaper = (a: Path | undefined, b: Path) => (a && a.cost <= b.cost ? a : b);

/** Best way to reach boundary `to` whose last stage is `candidate`. */
function extend(
  query: ChainQuery,
  reached: ReadonlyMap<number, Path[]>,
  candidate: StageCandidate,
  to: number,
): Path | undefined {
  const { size = oneToken } = query;
  const layerCost = layerCostMs(candidate, size);
  let best: Path | undefined;
  reached.forEach((paths, from) => {
    if (from < candidate.lo || from >= to) return;
    paths.forEach((before) => {
      const link = query.linkMs(before.candidate, candidate) * size.answerTokens;
      const cost = before.cost + link + layerCost * (to - from);
      if (best && best.cost <= cost) return;
      if (visits(before, candidate.node)) return;
      best = cheaper(best, {
        candidate, lo: from, hi: to, before, cost,
      });
    });
  });
  return best;
}

function shortestChain(query: ChainQuery, candidates: readonly StageCandidate[]) {
  const boundaries = [...new Set(candidates.flatMap(({ lo, hi }) => [lo, hi]))]
    .filter((b) => b > 0 && b <= query.layers)
    .sort((a, b) => a - b);
  const origin: Path = {
    candidate: undefined, lo: 0, hi: 0, before: undefined, cost: 0,
  };
  const reached = new Map([[0, [origin]]]);
  boundaries.forEach((to) => {
    const paths = candidates
      .filter(({ lo, hi }) => lo < to && hi >= to)
      .flatMap((candidate) => extend(query, reached, candidate, to) ?? []);
    if (paths.length > 0) reached.set(to, paths);
  });
  return (reached.get(query.layers) ?? [])
    .reduce<Path | undefined>((best, path) => cheaper(best, path), undefined);
}

/**
 * Chooses the chain with the lowest predicted time, from a random subset of the targets with
 * room where random numbers are given. Targets at their limit come in only when the others do
 * not cover the model. Returns undefined when no set of candidates covers [0, layers).
 */
export function chooseChain(query: ChainQuery): Chain | undefined {
  const { candidates, random, samples = defaultSamples } = query;
  const free = candidates.filter(hasRoom);
  const drawn = random ? sampleByRange(free, samples, random) : free;
  const best = shortestChain(query, drawn)
    ?? shortestChain(query, free)
    ?? shortestChain(query, random ? sampleByRange(candidates, samples, random) : candidates);
  return best && { stages: stagesOf(best), cost: best.cost };
}

/** Whether the targets with room cover the model. */
export function hasFreeChain(layers: number, candidates: readonly StageCandidate[]): boolean {
  const free = candidates.filter(hasRoom).sort((a, b) => a.lo - b.lo);
  const reach = free.reduce((to, { lo, hi }) => (lo <= to ? Math.max(to, hi) : to), 0);
  return reach >= layers;
}
