/** Targets as the layer planner sees them. */
import { acceleratorKindOf, type EngineModel } from '../serving/config.js';
import type { ServingTarget } from '../serving/targets.js';
import { fittingLayersAt, kvTokensBeside } from './memory.js';

/** Layers [lo, hi). */
export interface LayerRange {
  lo: number;
  hi: number;
}

/** A target that can hold layers. */
export interface LayerHost {
  id: string;
  zone: string;
  memoryMb: number;
  /** Factor of its accelerator on the time of a step. */
  stepFactor: number;
  /** Layers held now or by an order that is under way. */
  held: LayerRange | undefined;
}

export const lengthOf = ({ lo, hi }: LayerRange) => hi - lo;

export const sameRange = (a: LayerRange | undefined, b: LayerRange | undefined) => a?.lo === b?.lo
  && a?.hi === b?.hi;

/** The target as a host; undefined where its accelerator is unknown. */
export function toLayerHost(
  engine: EngineModel,
  {
    id, zone, kind, held,
  }: ServingTarget,
): LayerHost | undefined {
  const known = acceleratorKindOf(engine, kind);
  return known && {
    id, zone, memoryMb: known.memoryMb, stepFactor: known.stepFactor, held,
  };
}

/** Tokens for which a target has KV cache beside the layers that it holds; 0 where it has none. */
export function kvTokensOf(engine: EngineModel, { kind, held }: ServingTarget): number {
  const known = acceleratorKindOf(engine, kind);
  return known && held ? kvTokensBeside(engine, known.memoryMb, lengthOf(held)) : 0;
}

/** Layers that the hosts hold together when each keeps KV cache for `tokens` tokens. */
export const layersAt = (engine: EngineModel, hosts: readonly LayerHost[], tokens: number) => hosts
  .reduce((sum, { memoryMb }) => sum + fittingLayersAt(engine, memoryMb, tokens), 0);

/** KV tokens below which a host is of no use: so many requests of the usual size at once. */
const minRequests = 8;

export const minKvTokens = ({ usual }: EngineModel) => minRequests * (usual.prompt + usual.answer);

/** Whether the hosts hold `layers` layers with KV cache for the fewest useful requests. */
export const canHold = (
  engine: EngineModel,
  hosts: readonly LayerHost[],
  layers = engine.layers,
) => layersAt(engine, hosts, minKvTokens(engine)) >= layers;

/** The largest memory first, and among these the fastest. */
export const byMemory = (a: LayerHost, b: LayerHost) => b.memoryMb - a.memoryMb
  || a.stepFactor - b.stepFactor
  || (a.id < b.id ? -1 : 1);

/**
 * Share of the requests that a target takes at once for which a chain is to have KV cache; more
 * memory goes into copies.
 */
const wantedSlotShare = 0.35;

/** KV tokens that each host of a chain is to have. */
export const wantedKvTokens = ({ slots, usual }: EngineModel) => wantedSlotShare * slots
  * (usual.prompt + usual.answer);

const searchSteps = 40;

/** Most KV tokens that each host can keep while they hold `layers` layers; 0 when they can't. */
export function maxKvTokens(
  engine: EngineModel,
  hosts: readonly LayerHost[],
  layers = engine.layers,
): number {
  if (layersAt(engine, hosts, 0) < layers) return 0;
  const memoryMb = Math.max(...hosts.map((host) => host.memoryMb));
  const high = (memoryMb * 1e6 * engine.layers) / engine.kvTokenBytes;
  return Array.from({ length: searchSteps }).reduce<[number, number]>(([lo, hi]) => {
    const middle = (lo + hi) / 2;
    return layersAt(engine, hosts, middle) >= layers ? [middle, hi] : [lo, middle];
  }, [0, high])[0];
}

/** Share of the KV tokens of the evenest layout that each host keeps; the rest buys speed. */
export const kvShare = 0.6;

/** KV tokens that each host keeps when they are laid end to end over all layers. */
export const layoutKvTokens = (engine: EngineModel, hosts: readonly LayerHost[]) => kvShare
  * maxKvTokens(engine, hosts);
