/** Input of the placement planner: targets, models and the load expected for each model. */

/** A target that can hold layers. */
export interface FleetTarget {
  name: string;
  zone: string;
  region: string;
  /** Kind of accelerator. */
  kind: string;
  /** Milliseconds to decode one token through one layer at batch size 1. */
  layerMs: number;
  /** Milliseconds to prefill one prompt token through one layer. */
  prefillMs: number;
  /** Memory size, in layers of the reference model. */
  memoryLayers: number;
  /** Most operations in one iteration of the engine. */
  maxBatch: number;
  /** Time that each further decode adds to a batch, as a share of the time of a single decode. */
  batchShare: number;
  /** Measured iteration time relative to that of a healthy target; 1 by default. */
  slowdown?: number;
  /** Layers held now. */
  held?: LayerAssignment | undefined;
}

/** A model and its expected load. */
export interface FleetModel {
  name: string;
  layers: number;
  /** Memory of one layer, in layers of the reference model. */
  layerSize: number;
  /** Share of all requests; the shares of a fleet add up to 1. */
  share: number;
  /** Mean prompt tokens that have to be computed, as no cache holds them. */
  promptTokens: number;
  /** Mean tokens of an answer. */
  answerTokens: number;
}

export interface Fleet {
  targets: readonly FleetTarget[];
  models: readonly FleetModel[];
}

/** Layers [lo, hi) of a model. */
export interface LayerAssignment {
  model: string;
  lo: number;
  hi: number;
}

/** Layers of a model that fit in the memory of a target. */
export const fittingLayers = (target: FleetTarget, model: FleetModel) => Math
  .min(model.layers, Math.floor(target.memoryLayers / model.layerSize));

/** Milliseconds that a target with full batches spends on one layer of an average request. */
export function requestMsPerLayer(target: FleetTarget, model: FleetModel): number {
  const batchMs = target.layerMs * (1 + target.batchShare * (target.maxBatch - 1));
  const decodeMs = (model.answerTokens - 1) * (batchMs / target.maxBatch);
  const prefillMs = model.promptTokens * target.prefillMs;
  return (decodeMs + prefillMs) * (target.slowdown ?? 1);
}

/** Layers of average requests that a target can run per second. */
export const layerRate = (target: FleetTarget, model: FleetModel) => 1000
  / requestMsPerLayer(target, model);
