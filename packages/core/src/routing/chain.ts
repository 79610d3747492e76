/**
 * Choice of the chain of targets for a request: a shortest path over layer boundaries,
 * whose edges are runs of layers on one target.
 */

/** One target that holds layers of the model. */
export interface StageCandidate {
  node: string;
  zone: string;
  region: string;
  /** First layer held. */
  lo: number;
  /** Layer after the last one held. */
  hi: number;
  /** Milliseconds for one layer and one token at batch one. */
  layerMs: number;
  /** Requests held now, as far as is known here. */
  active: number;
  /** Requests that the target admits at once. */
  limit: number;
}

export interface ChainStage {
  node: string;
  lo: number;
  hi: number;
}

export interface Chain {
  stages: ChainStage[];
  /** Predicted milliseconds for one token. */
  cost: number;
}

export interface ChainQuery {
  /** Layers of the model. */
  layers: number;
  candidates: readonly StageCandidate[];
  /** One-way milliseconds between two targets; undefined stands for the entry. */
  linkMs(from: StageCandidate | undefined, to: StageCandidate): number;
}

interface Partial {
  candidate: StageCandidate | undefined;
  stages: ChainStage[];
  cost: number;
}

function runMs(candidate: StageCandidate, layers: number) {
  const crowding = 1 + candidate.active / candidate.limit;
  return candidate.layerMs * layers * crowding;
}

const cheapest = (partials: Partial[]) => partials
  .reduce<Partial | undefined>((best, p) => (!best || p.cost < best.cost ? p : best), undefined);

/** Best way to reach boundary `to` whose last stage is `candidate`. */
function extend(
  query: ChainQuery,
  reached: Map<number, Partial[]>,
  candidate: StageCandidate,
  to: number,
): Partial | undefined {
  const options = [...reached.entries()]
    .filter(([from]) => from >= candidate.lo && from < to)
    .flatMap(([from, partials]) => partials
      .filter((p) => !p.stages.some(({ node }) => node === candidate.node))
      .map((p) => ({
        candidate,
        stages: [...p.stages, { node: candidate.node, lo: from, hi: to }],
        cost: p.cost + query.linkMs(p.candidate, candidate) + runMs(candidate, to - from),
      })));
  return cheapest(options);
}

/**
 * Chooses the chain with the lowest predicted time per token.
 * Returns undefined when no set of candidates covers [0, layers).
 */
export function chooseChain(query: ChainQuery): Chain | undefined {
  const boundaries = [...new Set(query.candidates.flatMap(({ lo, hi }) => [lo, hi]))]
    .filter((b) => b > 0 && b <= query.layers)
    .sort((a, b) => a - b);
  const origin: Partial = { candidate: undefined, stages: [], cost: 0 };
  const reached = new Map([[0, [origin]]]);
  boundaries.forEach((to) => {
    const partials = query.candidates
      .filter(({ lo, hi }) => lo < to && hi >= to)
      .flatMap((candidate) => extend(query, reached, candidate, to) ?? []);
    if (partials.length > 0) reached.set(to, partials);
  });
  const best = cheapest(reached.get(query.layers) ?? []);
  return best && { stages: best.stages, cost: best.cost };
}
