/**
 * Targets that are slower than predicted, found from passing traffic. A chain's time tells of all
 * its targets at once; a target is to blame when even its faster chains are slow, since a healthy
 * one also serves in chains without the slow one. Observations expire; the target is tried again.
 */

export interface SlownessOptions {
  now(): number;
  /** Age from which an observation no longer counts, in milliseconds. */
  forgetMs?: number;
}

export interface Slowness {
  /** A chain of these nodes took this many times its predicted time for a token. */
  observe(nodes: readonly string[], ratio: number): void;
  /** Factor on the node's time; 1 unless it is clearly slower than the others. */
  of(node: string): number;
}

interface Observation {
  at: number;
  ratio: number;
}

const defaultForgetMs = 10_000;
const keptPerNode = 16;
const keptOverall = 128;
const minObservations = 4;
/** Factor below which a difference is taken for chance. */
const clearFactor = 2;
const maxFactor = 20;

function quantile(observations: readonly Observation[], share: number): number {
  const sorted = observations.map(({ ratio }) => ratio).sort((a, b) => a - b);
  return sorted[Math.floor(share * (sorted.length - 1))] ?? 1;
}

export function createSlowness({ now, forgetMs = defaultForgetMs }: SlownessOptions): Slowness {
  const byNode = new Map<string, Observation[]>();
  let overall: Observation[] = [];
  const recent = (list: readonly Observation[]) => list.filter(({ at }) => now() - at < forgetMs);

  return {
    observe(nodes, ratio) {
      const observation = { at: now(), ratio };
      overall = [...recent(overall), observation].slice(-keptOverall);
      nodes.forEach((node) => byNode
        .set(node, [...recent(byNode.get(node) ?? []), observation].slice(-keptPerNode)));
    },
    of(node) {
      const own = recent(byNode.get(node) ?? []);
      if (own.length === 0) byNode.delete(node);
      if (own.length < minObservations) return 1;
      const factor = quantile(own, 0.25) / quantile(recent(overall), 0.25);
      return factor < clearFactor ? 1 : Math.min(maxFactor, factor);
    },
  };
}
