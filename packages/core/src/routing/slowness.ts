/**
 * Detects from live traffic which targets are slower than predicted. Only the time of a whole chain
 * is measured. A target counts as slow when even its fastest chains are slow, since a healthy
 * target also serves in chains without the slow one. Observations expire, so that a slow target is
 * tried again.
 */

export interface SlownessTrackerOptions {
  now(): number;
  /** Age in milliseconds at which an observation expires. */
  maxAgeMs?: number;
}

export interface SlownessTracker {
  /**
   * Records a chain's time per token; `nodes` are the ids of its targets, `ratio` is the measured
   * time divided by the predicted one.
   */
  observe(nodes: readonly string[], ratio: number): void;
  /** Factor by which a target is slower than the others; 1 unless the difference is clear. */
  slowdownOf(node: string): number;
}

interface Observation {
  at: number;
  ratio: number;
}

const defaultMaxAgeMs = 10_000;
/** Newest observations kept for each target. */
const maxPerNode = 16;
/** Newest observations kept for all targets together. */
const maxOverall = 128;
/** Observations of a target below which it does not count as slow. */
const minObservations = 4;
/** Factor below which a difference is treated as noise. */
const minFactor = 2;
const maxFactor = 20;

function quantile(observations: readonly Observation[], share: number): number {
  const sorted = observations.map(({ ratio }) => ratio).sort((a, b) => a - b);
  return sorted[Math.floor(share * (sorted.length - 1))] ?? 1;
}

export function createSlownessTracker(
  { now, maxAgeMs = defaultMaxAgeMs }: SlownessTrackerOptions,
): SlownessTracker {
  const byNode = new Map<string, Observation[]>();
  let overall: Observation[] = [];
  const recent = (list: readonly Observation[]) => list.filter(({ at }) => now() - at < maxAgeMs);

  return {
    observe(nodes, ratio) {
      const observation = { at: now(), ratio };
      overall = [...recent(overall), observation].slice(-maxOverall);
      nodes.forEach((node) => byNode
        .set(node, [...recent(byNode.get(node) ?? []), observation].slice(-maxPerNode)));
    },
    slowdownOf(node) {
      const own = recent(byNode.get(node) ?? []);
      if (own.length === 0) byNode.delete(node);
      if (own.length < minObservations) return 1;
      const factor = quantile(own, 0.25) / quantile(recent(overall), 0.25);
      return factor < minFactor ? 1 : Math.min(maxFactor, factor);
    },
  };
}
