/**
 * Concurrency at which a target's batches are full. A request is at one stage at a time, so a
 * target must hold more requests than fit in a batch: by Little's law the batch times the loop
 * over all stages, divided by the target's own time in it.
 */
import type { StageCandidate } from './predict.js';

/** Operations that an engine takes into one iteration, where the target does not say. */
const referenceBatch = 32;

/** Full batches that may be at a target at once, the one that runs included. */
export const defaultDepth = 2.6;

/** Mean milliseconds for a layer when work is spread in proportion to speed. */
function meanLayerMs(candidates: readonly StageCandidate[]): number {
  const rates = candidates.reduce((sum, { layerMs }) => sum + 1 / Math.max(layerMs, 1e-6), 0);
  return candidates.length / rates;
}

/** Requests at which a target holds `depth` batches while `layers` layers are served. */
function fullAt(candidate: StageCandidate, layers: number, meanMs: number, depth: number) {
  const length = candidate.hi - candidate.lo;
  const ownMs = length * Math.max(candidate.layerMs, 1e-6);
  const restMs = (layers - length) * meanMs;
  return Math.ceil(depth * referenceBatch * (1 + restMs / ownMs));
}

/** Lowers each limit to the concurrency beyond which requests would only wait at the target. */
export function limitToDepth(
  candidates: readonly StageCandidate[],
  layers: number,
  depth = defaultDepth,
): StageCandidate[] {
  const meanMs = meanLayerMs(candidates);
  return candidates.map((candidate) => ({
    ...candidate, limit: Math.min(candidate.limit, fullAt(candidate, layers, meanMs, depth)),
  }));
}
