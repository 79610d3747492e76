/** Division of an engine's memory between the weights of its layers and their KV cache. */
import type { EngineModel } from '../serving/config.js';

const bytesPerMb = 1e6;

/** KV memory of one token in one layer, in MB. */
const tokenLayerMb = ({ kvTokenBytes, layers }: EngineModel) => kvTokenBytes / layers / bytesPerMb;

/** Layers that fit in memory, each with KV cache for `tokens` tokens. */
export function layersForKvTokens(engine: EngineModel, memoryMb: number, tokens: number): number {
  const perLayerMb = engine.layerMb + tokens * tokenLayerMb(engine);
  return Math.min(engine.layers, Math.floor(memoryMb / perLayerMb));
}

/** Tokens whose KV cache fits in memory with `layers` layers; 0 if the layers alone don't fit. */
export function kvTokensForLayers(engine: EngineModel, memoryMb: number, layers: number): number {
  if (layers <= 0) return 0;
  const freeMb = memoryMb - layers * engine.layerMb;
  return Math.max(0, Math.floor(freeMb / (layers * tokenLayerMb(engine))));
}
