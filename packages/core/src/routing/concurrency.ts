/**
 * Concurrency limit at which a target's batches are full. A request is at one stage at a time, so a
 * target needs more requests in flight than fit in a batch. By Little's law that number is the
 * batch size times the time of a pass through all stages, divided by the target's own part of that
 * time.
 */
import type { StageCandidate } from './predict.js';

/** Assumed batch size of an engine: sequences that it processes in one iteration. */
const referenceBatchSize = 32;

/** Full batches that may be at a target at once, including the one that is running. */
export const defaultMaxBatches = 3;

/** Mean time per layer in milliseconds when targets get work in proportion to their speed. */
function meanLayerMs(candidates: readonly StageCandidate[]): number {
  const rates = candidates.reduce((sum, { layerMs }) => sum + 1 / Math.max(layerMs, 1e-6), 0);
  return candidates.length / rates;
}

/** Concurrency at which a target of a model with `layers` layers has `maxBatches` full batches. */
function fullConcurrency(
  candidate: StageCandidate,
  layers: number,
  meanMs: number,
  maxBatches: number,
) {
  const length = candidate.hi - candidate.lo;
  const ownMs = length * Math.max(candidate.layerMs, 1e-6);
  const restMs = (layers - length) * meanMs;
  return Math.ceil(maxBatches * referenceBatchSize * (1 + restMs / ownMs));
}

/** Lowers each limit to the concurrency above which further requests would only queue. */
export function limitConcurrency(
  candidates: readonly StageCandidate[],
  layers: number,
  maxBatches = defaultMaxBatches,
): StageCandidate[] {
  const meanMs = meanLayerMs(candidates);
  return candidates.map((candidate) => ({
    ...candidate,
    limit: Math.min(candidate.limit, fullConcurrency(candidate, layers, meanMs, maxBatches)),
  }));
}
