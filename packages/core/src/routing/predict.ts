/** Predicts the time that a request's layers take on a target, from the target's known load. */

/** A target that holds layers of the model and could run a stage of the request. */
export interface StageCandidate {
  /** Id of the target. */
  node: string;
  zone: string;
  region: string;
  /** First layer held. */
  lo: number;
  /** Layer after the last one held. */
  hi: number;
  /** Milliseconds to decode one token on one layer at batch size 1. */
  layerMs: number;
  /** Load of the target as known here, in the unit of `limit`: requests or KV tokens. */
  active: number;
  /** Load at which the target is full. */
  limit: number;
  /** Milliseconds to process one prompt token on one layer. */
  prefillMs?: number;
  /** Estimated number of this request's prompt tokens in the target's prefix cache. */
  cachedTokens?: number;
  /** Factor by which the target is slower than predicted, seen in live traffic; 1 when healthy. */
  slowdown?: number;
}

/** Expected size of a request in tokens. */
export interface RequestSize {
  promptTokens: number;
  answerTokens: number;
}

/** Relative increase of the time to decode a token in a full batch over decoding it alone. */
const fullBatchSlowdown = 0.6;
/** Weight of the queueing delay, which grows without bound as the load approaches the limit. */
const queueWeight = 0.5;
/** Smallest free share of the limit that is assumed; keeps the cost of a full target finite. */
const minRoom = 0.01;

/** Factor by which the current load of a target slows down one more request. */
export function loadFactor({ active, limit }: StageCandidate): number {
  const used = active / limit;
  const room = Math.max(minRoom, 1 - used);
  return 1 + fullBatchSlowdown * Math.min(1, used) + (queueWeight * used) / room;
}

/** Milliseconds that a target spends on one layer for the prompt and the whole answer. */
export function layerCostMs(candidate: StageCandidate, size: RequestSize): number {
  const { layerMs, prefillMs = 0, cachedTokens = 0 } = candidate;
  const decodeMs = size.answerTokens * layerMs;
  const promptMs = Math.max(1, size.promptTokens - cachedTokens) * prefillMs;
  return (decodeMs + promptMs) * loadFactor(candidate) * (candidate.slowdown ?? 1);
}

export const hasRoom = ({ active, limit }: StageCandidate) => active < limit;

/**
 * Estimates a target's current load: the load from other entries at its last report plus this
 * entry's own load now. `ownAtReport` is this entry's own load at the time of the report.
 */
export const correctedActive = (
  reported: number,
  ownAtReport: number,
  own: number,
) => Math.max(0, reported - ownAtReport) + own;
