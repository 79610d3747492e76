/**
 * Choice of the targets that one entry connects to: for each part of the layers of each model, the
 * first holders by rendezvous hash (Thaler and Ravishankar), so that churn moves few connections.
 */
import xxhash from 'xxhash-wasm';

const { h32 } = await xxhash();

/** One thing that a target holds: layers of a model, or a plain service. */
export interface Holding {
  node: string;
  region: string;
  /** Model and version, or the fleet of a service. */
  group: string;
  /** First layer held; 0 for a service. */
  lo: number;
  /** Layer after the last one held; 1 for a service. */
  hi: number;
}

export interface SubsetOptions {
  /** Name of the entry that chooses. */
  self: string;
  region: string;
  /** Holders in the entry's region for each part of the layers. */
  perSegment: number;
  /** Holders of other regions where the entry's own has fewer than this. */
  spare: number;
}

export const subsetDefaults = { perSegment: 8, spare: 2 };

/** The order in which an entry prefers nodes; the same after any change of the others. */
export const rendezvousScore = (self: string, node: string) => h32(`${self} ${node}`);

const byScore = (self: string, holdings: readonly Holding[]) => holdings
  .map((holding) => ({ holding, score: rendezvousScore(self, holding.node) }))
  .sort((a, b) => b.score - a.score || (a.holding.node < b.holding.node ? -1 : 1))
  .map(({ holding }) => holding);

/** Chooses the holders of one part of the layers from those that hold it, in order of score. */
function chooseHolders(ordered: readonly Holding[], options: SubsetOptions): string[] {
  const { region, perSegment, spare } = options;
  const own = ordered.filter((holding) => holding.region === region).slice(0, perSegment);
  const others = ordered.filter((holding) => holding.region !== region);
  return [...own, ...others.slice(0, Math.max(0, spare - own.length))].map(({ node }) => node);
}

function chooseForGroup(holdings: readonly Holding[], options: SubsetOptions): string[] {
  const ordered = byScore(options.self, holdings);
  const bounds = [...new Set(holdings.flatMap(({ lo, hi }) => [lo, hi]))].sort((a, b) => a - b);
  return bounds.slice(1).flatMap((hi, i) => chooseHolders(
    ordered.filter((holding) => holding.lo <= bounds[i]! && holding.hi >= hi),
    options,
  ));
}

/** Chooses the nodes to connect to, so that every part of every group has its holders. */
export function chooseSubset(holdings: readonly Holding[], options: SubsetOptions): Set<string> {
  const groups = new Map<string, Holding[]>();
  holdings.forEach((holding) => {
    const group = groups.get(holding.group);
    if (group) group.push(holding);
    else groups.set(holding.group, [holding]);
  });
  return new Set([...groups.values()].flatMap((group) => chooseForGroup(group, options)));
}
