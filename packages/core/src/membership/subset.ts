/**
 * Chooses the subset of targets that an entry connects to. The layer boundaries of all targets
 * split each model into segments. For each segment the entry takes the targets with the highest
 * rendezvous hash (Thaler and Ravishankar), so that joins and losses move few connections.
 */
import xxhash from 'xxhash-wasm';

const { h32 } = await xxhash();

/** A range of model layers that a target has loaded, or a service that it runs. */
export interface HostedRange {
  node: string;
  region: string;
  /** Model and version, or the service. */
  group: string;
  /** First layer; 0 for a service. */
  lo: number;
  /** Layer after the last one; 1 for a service. */
  hi: number;
}

export interface SubsetOptions {
  /** Name of the entry that chooses. */
  self: string;
  region: string;
  /** Targets chosen per segment in the entry's own region, if it has as many. */
  replicasPerSegment: number;
  /** Targets of other regions are added to a segment until it has this many. */
  minReplicas: number;
}

export const subsetDefaults = { replicasPerSegment: 8, minReplicas: 2 };

/** An entry prefers nodes with a higher score. The score does not depend on other nodes. */
export const rendezvousScore = (self: string, node: string) => h32(`${self} ${node}`);

const byScore = (self: string, ranges: readonly HostedRange[]) => ranges
  .map((range) => ({ range, score: rendezvousScore(self, range.node) }))
  .sort((a, b) => b.score - a.score || (a.range.node < b.range.node ? -1 : 1))
  .map(({ range }) => range);

/** Chooses the nodes for one segment from those that host it, given in order of score. */
function chooseReplicas(ordered: readonly HostedRange[], options: SubsetOptions): string[] {
  const { region, replicasPerSegment, minReplicas } = options;
  const own = ordered.filter((range) => range.region === region).slice(0, replicasPerSegment);
  const others = ordered.filter((range) => range.region !== region);
  return [...own, ...others.slice(0, Math.max(0, minReplicas - own.length))]
    .map(({ node }) => node);
}

function chooseForGroup(ranges: readonly HostedRange[], options: SubsetOptions): string[] {
  const ordered = byScore(options.self, ranges);
  const bounds = [...new Set(ranges.flatMap(({ lo, hi }) => [lo, hi]))].sort((a, b) => a - b);
  return bounds.slice(1).flatMap((hi, i) => chooseReplicas(
    ordered.filter((range) => range.lo <= bounds[i]! && range.hi >= hi),
    options,
  ));
}

/** Chooses the nodes to connect to so that every segment of every group is covered. */
export function chooseSubset(ranges: readonly HostedRange[], options: SubsetOptions): Set<string> {
  const groups = new Map<string, HostedRange[]>();
  ranges.forEach((range) => {
    const group = groups.get(range.group);
    if (group) group.push(range);
    else groups.set(range.group, [range]);
  });
  return new Set([...groups.values()].flatMap((group) => chooseForGroup(group, options)));
}
