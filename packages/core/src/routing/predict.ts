/** Predicted time of a request's layers on a target, from what is known of its load. */

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
  /** Milliseconds for one layer and one prompt token. */
  prefillMs?: number;
  /** Tokens of this request's prompt that the target's cache is thought to hold. */
  cachedTokens?: number;
  /** Factor on the target's time as seen from passing traffic; 1 when healthy. */
  slowdown?: number;
}

/** Expected size of a request in tokens. */
export interface RequestSize {
  promptTokens: number;
  answerTokens: number;
}

/** Time of a decode in a full batch over its time alone, minus one. */
const fullBatchShare = 0.6;
/** Weight of the wait for earlier work, which grows without bound towards the limit. */
const queueShare = 0.5;
/** Room that a full target is thought to have, which keeps its cost finite. */
const minRoom = 0.01;

/** Factor by which the work that a target holds slows a further request. */
export function crowdingOf({ active, limit }: StageCandidate): number {
  const used = active / limit;
  const room = Math.max(minRoom, 1 - used);
  return 1 + fullBatchShare * Math.min(1, used) + (queueShare * used) / room;
}

/** Milliseconds that one layer of a request takes on a target over the whole answer. */
export function layerCostMs(candidate: StageCandidate, size: RequestSize): number {
  const { layerMs, prefillMs = 0, cachedTokens = 0 } = candidate;
  const decodeMs = size.answerTokens * layerMs;
  const prefill = Math.max(1, size.promptTokens - cachedTokens) * prefillMs;
  return (decodeMs + prefill) * crowdingOf(candidate) * (candidate.slowdown ?? 1);
}

export const hasRoom = ({ active, limit }: StageCandidate) => active < limit;

/**
 * Requests that a target holds: those of others at its last report plus this entry's own now.
 * `ownAtReport` is what this entry had in flight there when the report arrived.
 */
export const correctedActive = (
  reported: number,
  ownAtReport: number,
  own: number,
) => Math.max(0, reported - ownAtReport) + own;
