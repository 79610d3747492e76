/** What the planner knows of a fleet: its targets, its models and the work expected of them. */

/** A target that can hold layers. */
export interface FleetTarget {
  name: string;
  zone: string;
  region: string;
  /** Kind of accelerator. */
  kind: string;
  /** Milliseconds for one layer and one decoded token at batch one. */
  layerMs: number;
  /** Milliseconds for one layer and one prompt token. */
  prefillMs: number;
  /** Layers of the reference model that fit in memory. */
  memoryLayers: number;
  /** Operations in one iteration of the engine at the most. */
  maxBatch: number;
  /** Share of a decode's time that each further decode of the batch adds. */
  batchShare: number;
  /** Factor on the time of an iteration as measured from traffic; 1 when healthy. */
  slowdown?: number;
  /** Layers held now. */
  held?: LayerAssignment | undefined;
}

/** A model and the requests expected for it. */
export interface FleetModel {
  name: string;
  layers: number;
  /** Memory of one layer in layers of the reference model. */
  layerSize: number;
  /** Share of all requests; the shares of a fleet add up to 1. */
  share: number;
  /** Mean tokens of a prompt that no cache spares. */
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

/** Milliseconds that one layer of a mean request costs a target whose batches are full. */
export function requestMsPerLayer(target: FleetTarget, model: FleetModel): number {
  const batchMs = target.layerMs * (1 + target.batchShare * (target.maxBatch - 1));
  const decodeMs = (model.answerTokens - 1) * (batchMs / target.maxBatch);
  const prefillMs = model.promptTokens * target.prefillMs;
  return (decodeMs + prefillMs) * (target.slowdown ?? 1);
}

/** Layers of mean requests that a target can run in a second. */
export const layerRate = (target: FleetTarget, model: FleetModel) => 1000
  / requestMsPerLayer(target, model);
