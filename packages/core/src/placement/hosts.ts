/** Hosts, that is targets with the properties that the placement of layers depends on. */
import { acceleratorKindOf, type EngineModel } from '../serving/config.js';
import type { ServingTarget } from '../serving/targets.js';
import { layersForKvTokens, kvTokensForLayers } from './memory.js';

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
  /** Step time of its accelerator, relative to the times of the engine model. */
  stepFactor: number;
  /** Layers held now, or once a pending order has completed. */
  held: LayerRange | undefined;
  /** Whether it limits the rate of the requests that are sent to it. */
  isLimited: boolean;
}

export const countLayers = ({ lo, hi }: LayerRange) => hi - lo;

export const sameRange = (a: LayerRange | undefined, b: LayerRange | undefined) => a?.lo === b?.lo
  && a?.hi === b?.hi;

/** The target as a host; undefined if its kind of accelerator is unknown. */
export function toLayerHost(
  engine: EngineModel,
  {
    id, zone, kind, held,
  }: ServingTarget,
  isLimited: boolean,
): LayerHost | undefined {
  const known = acceleratorKindOf(engine, kind);
  return known && {
    id, zone, memoryMb: known.memoryMb, stepFactor: known.stepFactor, held, isLimited,
  };
}

/** KV tokens that fit on a target with the layers that it holds; 0 if it holds none. */
export function kvTokensOf(engine: EngineModel, { kind, held }: ServingTarget): number {
  const known = acceleratorKindOf(engine, kind);
  return known && held ? kvTokensForLayers(engine, known.memoryMb, countLayers(held)) : 0;
}

/** Layers that the hosts can hold together if each keeps KV cache for `tokens` tokens. */
export const totalLayersForKvTokens = (
  engine: EngineModel,
  hosts: readonly LayerHost[],
  tokens: number,
) => hosts
  .reduce((sum, { memoryMb }) => sum + layersForKvTokens(engine, memoryMb, tokens), 0);

/** Concurrent requests of the usual size; a host with KV cache for fewer is of no use. */
const minConcurrentRequests = 8;

/** KV tokens that each host must at least have. */
export const minKvTokens = ({ usual }: EngineModel) => minConcurrentRequests
  * (usual.prompt + usual.answer);

/** Whether the hosts can hold `layers` layers together with `minKvTokens` each. */
export const canHold = (
  engine: EngineModel,
  hosts: readonly LayerHost[],
  layers = engine.layers,
) => totalLayersForKvTokens(engine, hosts, minKvTokens(engine)) >= layers;

/** Sort order: largest memory first, then fastest, then by id. */
export const byMemory = (a: LayerHost, b: LayerHost) => b.memoryMb - a.memoryMb
  || a.stepFactor - b.stepFactor
  || (a.id < b.id ? -1 : 1);

/**
 * Share of a target's concurrent requests for which a chain should have KV cache. Hosts that are
 * not needed for that become replicas.
 */
const wantedSlotShare = 0.35;

/** KV tokens that each host of a chain should have. */
export const wantedKvTokens = ({ slots, usual }: EngineModel) => wantedSlotShare * slots
  * (usual.prompt + usual.answer);

const bisectionSteps = 40;

/** Most KV tokens that every host can keep while they hold `layers` layers; 0 if they can't. */
export function maxKvTokens(
  engine: EngineModel,
  hosts: readonly LayerHost[],
  layers = engine.layers,
): number {
  if (totalLayersForKvTokens(engine, hosts, 0) < layers) return 0;
  const memoryMb = Math.max(...hosts.map((host) => host.memoryMb));
  const high = (memoryMb * 1e6 * engine.layers) / engine.kvTokenBytes;
  return Array.from({ length: bisectionSteps }).reduce<[number, number]>(([lo, hi]) => {
    const middle = (lo + hi) / 2;
    return totalLayersForKvTokens(engine, hosts, middle) >= layers ? [middle, hi] : [lo, middle];
  }, [0, high])[0];
}

/**
 * Share of `maxKvTokens` that each host of a chain keeps. The rest of the memory goes into more
 * layers on the faster hosts, which makes steps shorter.
 */
export const keptKvShare = 0.6;

/** KV tokens that each host keeps when they form a chain over all layers. */
export const chainKvTokens = (engine: EngineModel, hosts: readonly LayerHost[]) => keptKvShare
  * maxKvTokens(engine, hosts);
