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

/** A candidate with what the search needs of it, computed once. */
interface Stage {
  candidate: StageCandidate;
  /** Position among the candidates; the first of several equally cheap ones is chosen. */
  order: number;
  /** Number of its group; `linkMs` is equal for all targets of a group. */
  group: number;
  /** Milliseconds that one layer of the request takes. */
  layerMs: number;
}

/** A path to a layer boundary, as a linked list from its last stage to the first. */
interface Path {
  /** Last stage; undefined for the empty path. */
  stage: Stage | undefined;
  lo: number;
  hi: number;
  previous: Path | undefined;
  cost: number;
}

/** Costs of the paths to a boundary, each with the link to the targets of one group. */
interface LinkedCosts {
  costs: readonly number[];
  least: number;
}

/** A layer boundary that paths have reached. */
interface Boundary {
  at: number;
  paths: readonly Path[];
  /** By group of the next stage; computed when first needed. */
  linked: Map<number, LinkedCosts>;
}

interface Search {
  query: ChainQuery;
  stages: readonly Stage[];
  /** In ascending order. */
  reached: Boundary[];
}

const origin: Path = {
  stage: undefined, lo: 0, hi: 0, previous: undefined, cost: 0,
};

const cheaper = (a: Path | undefined, b: Path) => (a && a.cost <= b.cost ? a : b);

const byOrder = (a: Path, b: Path) => a.stage!.order - b.stage!.order;
const byCost = (a: Path, b: Path) => a.cost - b.cost || byOrder(a, b);

const uses = (path: Path | undefined, node: string): boolean => path?.stage !== undefined
  && (path.stage.candidate.node === node || uses(path.previous, node));

function stagesOf({
  stage, lo, hi, previous,
}: Path): ChainStage[] {
  if (!stage) return [];
  return [...stagesOf(previous!), { node: stage.candidate.node, lo, hi }];
}

/** Numbers the groups of the candidates; without groups, each candidate is one. */
function toStages(
  { linkGroupOf, size = oneToken }: ChainQuery,
  candidates: readonly StageCandidate[],
): Stage[] {
  const numbers = new Map<string, number>();

  function numberOf(group: string): number {
    const known = numbers.get(group);
    if (known !== undefined) return known;
    numbers.set(group, numbers.size);
    return numbers.size - 1;
  }

  return candidates.map((candidate, order) => ({
    candidate,
    order,
    group: linkGroupOf ? numberOf(linkGroupOf(candidate)) : order,
    layerMs: layerCostMs(candidate, size),
  }));
}

function linkCosts({ linkMs, size = oneToken }: ChainQuery, paths: readonly Path[], to: Stage) {
  const costs = paths.map(({ stage, cost }) => (
    cost + linkMs(stage?.candidate, to.candidate) * size.answerTokens));
  return { costs, least: Math.min(...costs) };
}

function linkedCostsOf(query: ChainQuery, boundary: Boundary, to: Stage): LinkedCosts {
  const known = boundary.linked.get(to.group);
  if (known) return known;
  const computed = linkCosts(query, boundary.paths, to);
  boundary.linked.set(to.group, computed);
  return computed;
}

/**
 * Returns the cheapest path to boundary `to` whose last stage is `stage`; undefined if there is
 * none that costs less than `limit`. Uses loops, as it takes most of the time of the search.
 */
function extend(
  { query, reached }: Search,
  stage: Stage,
  to: number,
  limit: number | undefined,
): Path | undefined {
  const { candidate, layerMs } = stage;
  let best: Path | undefined;
  let bound = limit;
  for (let b = 0; b < reached.length; b += 1) {
    const boundary = reached[b]!;
    const layersMs = layerMs * (to - boundary.at);
    const linked = boundary.at < candidate.lo ? undefined : linkedCostsOf(query, boundary, stage);
    const mayImprove = linked && (bound === undefined || linked.least + layersMs < bound);
    for (let i = 0; mayImprove && i < linked.costs.length; i += 1) {
      const previous = boundary.paths[i]!;
      const cost = linked.costs[i]! + layersMs;
      if ((bound === undefined || cost < bound) && !uses(previous, candidate.node)) {
        bound = cost;
        best = {
          stage, lo: boundary.at, hi: to, previous, cost,
        };
      }
    }
  }
  return best;
}

/** Collects the paths to one boundary, the cheapest ones of each group. */
function createPathCollection() {
  const byGroup: Path[][] = [];
  let count = 0;
  return {
    /** Cost that a further path of a group must stay below to be kept; undefined for any. */
    limitOf(group: number): number | undefined {
      return count > pathsPerGroup ? byGroup[group]?.[pathsPerGroup - 1]?.cost : undefined;
    },
    add(path: Path) {
      count += 1;
      const { group } = path.stage!;
      const kept = byGroup[group] ?? [];
      byGroup[group] = kept;
      const at = kept.findIndex(({ cost }) => path.cost < cost);
      kept.splice(at === -1 ? kept.length : at, 0, path);
      if (kept.length > pathsPerGroup) kept.pop();
    },
    /** All paths: by cost if they were pruned by group, else by the order of their stages. */
    list(hasGroups: boolean): Path[] {
      return byGroup.flat().sort(hasGroups && count > pathsPerGroup ? byCost : byOrder);
    },
  };
}

/** Returns the paths to a boundary. */
function pathsTo(search: Search, to: number): Path[] {
  const paths = createPathCollection();
  search.stages.forEach((stage) => {
    const { lo, hi } = stage.candidate;
    if (lo >= to || hi < to) return;
    const path = extend(search, stage, to, paths.limitOf(stage.group));
    if (path) paths.add(path);
  });
  return paths.list(search.query.linkGroupOf !== undefined);
}

function boundariesOf(layers: number, candidates: readonly StageCandidate[]): number[] {
  const boundaries = new Set<number>();
  candidates.forEach(({ lo, hi }) => boundaries.add(lo).add(hi));
  return [...boundaries].filter((b) => b > 0 && b <= layers).sort((a, b) => a - b);
}

function shortestChain(query: ChainQuery, candidates: readonly StageCandidate[]) {
  const reached: Boundary[] = [{ at: 0, paths: [origin], linked: new Map() }];
  const search = { query, stages: toStages(query, candidates), reached };
  boundariesOf(query.layers, candidates).forEach((to) => {
    const paths = pathsTo(search, to);
    if (paths.length > 0) reached.push({ at: to, paths, linked: new Map() });
  });
  const last = reached.at(-1)!;
  return last.at === query.layers
    ? last.paths.reduce<Path | undefined>(cheaper, undefined)
    : undefined;
}

/**
 * Chooses the chain with the lowest predicted time among the targets below their limit, or among a
 * random subset of them when `random` is given. Targets at their limit are considered only when the
 * others do not cover the model. Returns undefined when no set of candidates covers [0, layers).
 */
export function chooseChain(query: ChainQuery): Chain | undefined {
  const { candidates, random, samples = defaultSamples } = query;
  const free = candidates.filter(hasRoom);
  const search = (some: readonly StageCandidate[]) => shortestChain(query, some);
  const draw = (some: readonly StageCandidate[]) => (
    random ? search(sampleByRange(some, samples, random)) : undefined);
  const best = draw(free) ?? search(free) ?? draw(candidates);
  const isRepeated = random !== undefined || free.length === candidates.length;
  const chosen = best ?? (isRepeated ? undefined : search(candidates));
  return chosen && { stages: stagesOf(chosen), cost: chosen.cost };
}

/** Whether the targets below their limit cover the model. */
export function hasFreeChain(layers: number, candidates: readonly StageCandidate[]): boolean {
  const free = candidates.filter(hasRoom).sort((a, b) => a.lo - b.lo);
  const reach = free.reduce((to, { lo, hi }) => (lo <= to ? Math.max(to, hi) : to), 0);
  return reach >= layers;
}
