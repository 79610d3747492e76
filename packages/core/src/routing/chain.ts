/**
 * Chooses the chain of targets for a request: a shortest path whose nodes are layer boundaries and
 * whose edges are ranges of layers run on one target.
 */
import {
  hasRoom, layerCostMs, type RequestSize, type StageCandidate,
} from './predict.js';
import { sampleByRange } from './sample.js';

export interface ChainStage {
  /** Id of the target. */
  node: string;
  /** First layer to run. */
  lo: number;
  /** Layer after the last one to run. */
  hi: number;
}

export interface Chain {
  stages: ChainStage[];
  /** Predicted time of the whole request in milliseconds. */
  cost: number;
}

export interface ChainQuery {
  /** Number of layers of the model. */
  layers: number;
  candidates: readonly StageCandidate[];
  /** One-way latency between two targets in milliseconds; `from` is undefined for the entry. */
  linkMs(from: StageCandidate | undefined, to: StageCandidate): number;
  /** Expected size of the request; one prompt token and one answer token when absent. */
  size?: RequestSize;
  /** Draws the subset of candidates to compare; all are compared when absent. */
  random?: () => number;
  /** Number of candidates to draw for each range of layers. */
  samples?: number;
}

export const defaultSamples = 3;

const oneToken: RequestSize = { promptTokens: 1, answerTokens: 1 };

/** A path to a layer boundary, as a linked list from its last stage to the first. */
interface Path {
  /** Target of the last stage; undefined for the empty path. */
  candidate: StageCandidate | undefined;
  lo: number;
  hi: number;
  previous: Path | undefined;
  cost: number;
}

const uses = (path: Path | undefined, node: string): boolean => path !== undefined
  && (path.candidate?.node === node || uses(path.previous, node));

function stagesOf(path: Path): ChainStage[] {
  const { candidate, lo, hi } = path;
  if (!candidate) return [];
  return [...stagesOf(path.previous!), { node: candidate.node, lo, hi }];
}

const cheaper = (a: Path | undefined, b: Path) => (a && a.cost <= b.cost ? a : b);

/** Returns the cheapest path to boundary `to` whose last stage runs on `candidate`. */
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
    paths.forEach((previous) => {
      const link = query.linkMs(previous.candidate, candidate) * size.answerTokens;
      const cost = previous.cost + link + layerCost * (to - from);
      if (best && best.cost <= cost) return;
      if (uses(previous, candidate.node)) return;
      best = cheaper(best, {
        candidate, lo: from, hi: to, previous, cost,
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
    candidate: undefined, lo: 0, hi: 0, previous: undefined, cost: 0,
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
 * Chooses the chain with the lowest predicted time among the targets below their limit, or among a
 * random subset of them when `random` is given. Targets at their limit are considered only when the
 * others do not cover the model. Returns undefined when no set of candidates covers [0, layers).
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

/** Whether the targets below their limit cover the model. */
export function hasFreeChain(layers: number, candidates: readonly StageCandidate[]): boolean {
  const free = candidates.filter(hasRoom).sort((a, b) => a.lo - b.lo);
  const reach = free.reduce((to, { lo, hi }) => (lo <= to ? Math.max(to, hi) : to), 0);
  return reach >= layers;
}
