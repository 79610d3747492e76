/** Memory of an engine that holds a range of layers: what the weights leave is KV cache. */
import type { EngineModel } from '../serving/config.js';

const bytesPerMb = 1e6;

/** KV memory of one token in one layer, in MB. */
const tokenLayerMb = ({ kvTokenBytes, layers }: EngineModel) => kvTokenBytes / layers / bytesPerMb;

/** Layers that fit beside KV cache for `tokens` tokens in each of them. */
export function fittingLayersAt(engine: EngineModel, memoryMb: number, tokens: number): number {
  const perLayerMb = engine.layerMb + tokens * tokenLayerMb(engine);
  return Math.min(engine.layers, Math.floor(memoryMb / perLayerMb));
}

/** Tokens whose KV cache fits beside `layers` layers; 0 when the layers alone don't fit. */
export function kvTokensBeside(engine: EngineModel, memoryMb: number, layers: number): number {
  if (layers <= 0) return 0;
  const freeMb = memoryMb - layers * engine.layerMb;
  return Math.max(0, Math.floor(freeMb / (layers * tokenLayerMb(engine))));
}
