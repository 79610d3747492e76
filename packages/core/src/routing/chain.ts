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
  /**
   * Group of a target, where `linkMs` depends on the groups of both targets alone; only the
   * cheapest paths to each group are then followed. Absent where it depends on more.
   */
  linkGroupOf?(candidate: StageCandidate): string;
  /** Expected size of the request; one prompt token and one answer token when absent. */
  size?: RequestSize;
  /** Draws the subset of candidates to compare; all are compared when absent. */
  random?: () => number;
  /** Number of candidates to draw for each range of layers. */
  samples?: number;
}

export const defaultSamples = 3;

/**
 * Paths that are followed for each layer boundary and group of targets with equal links. More than
 * one, since a target that a path has already used can't extend it.
 */
const pathsPerGroup = 3;

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

/** The cheapest of the paths for each group of their last targets. */
function prune(paths: Path[], { linkGroupOf }: ChainQuery): Path[] {
  if (!linkGroupOf || paths.length <= pathsPerGroup) return paths;
  const counts = new Map<string, number>();
  return paths.sort((a, b) => a.cost - b.cost).filter(({ candidate }) => {
    const group = linkGroupOf(candidate!);
    const count = (counts.get(group) ?? 0) + 1;
    counts.set(group, count);
    return count <= pathsPerGroup;
  });
}

const cheaper = (a: Path | undefined, b: Path) => (a && a.cost <= b.cost ? a : b);

interface CandidateCost {
  candidate: StageCandidate;
  /** Milliseconds that one layer of the request takes. */
  layerMs: number;
}

/** Returns the cheapest path to boundary `to` whose last stage runs on `candidate`. */
function extend(
  query: ChainQuery,
  reached: ReadonlyMap<number, Path[]>,
  { candidate, layerMs }: CandidateCost,
  to: number,
): Path | undefined {
  const { size = oneToken } = query;
  let best: Path | undefined;
  reached.forEach((paths, from) => {
    if (from < candidate.lo || from >= to) return;
    paths.forEach((previous) => {
      const link = query.linkMs(previous.candidate, candidate) * size.answerTokens;
      const cost = previous.cost + link + layerMs * (to - from);
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
  const { size = oneToken } = query;
  const costs = candidates
    .map((candidate) => ({ candidate, layerMs: layerCostMs(candidate, size) }));
  const reached = new Map([[0, [origin]]]);
  boundaries.forEach((to) => {
    const paths = costs
      .filter(({ candidate: { lo, hi } }) => lo < to && hi >= to)
      .flatMap((cost) => extend(query, reached, cost, to) ?? []);
    if (paths.length > 0) reached.set(to, prune(paths, query));
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
