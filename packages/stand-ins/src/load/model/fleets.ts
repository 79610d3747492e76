/** Fleets for the benchmarks: those of the two deployments, and seeded mixed ones. */
import type { Fleet, FleetModel, FleetTarget } from '@verbenashunt/core';
import { createRandom } from './random.js';

interface AcceleratorKind {
  kind: string;
  layerMs: number;
  prefillMs: number;
  memoryLayers: number;
}

export const acceleratorKinds: readonly AcceleratorKind[] = [
  {
    kind: 'h100', layerMs: 0.1, prefillMs: 0.001, memoryLayers: 20,
  },
  {
    kind: 'a100', layerMs: 0.16, prefillMs: 0.0016, memoryLayers: 20,
  },
  {
    kind: 'l40s', layerMs: 0.28, prefillMs: 0.0028, memoryLayers: 16,
  },
  {
    kind: 'a10', layerMs: 0.44, prefillMs: 0.0044, memoryLayers: 12,
  },
  {
    kind: 't4', layerMs: 0.8, prefillMs: 0.008, memoryLayers: 8,
  },
];

/** Batching of every target; see `BatchTiming` of the stand-in engine. */
const maxBatch = 32;
const batchShare = 0.02;
const zonesPerRegion = 3;

export function fleetTarget(index: number, kind: AcceleratorKind, region: string): FleetTarget {
  return {
    name: `${region}-${index}`,
    zone: `${region}-${'abc'[index % zonesPerRegion]}`,
    region,
    ...kind,
    maxBatch,
    batchShare,
  };
}

function targetsOf(counts: readonly number[], region: string): FleetTarget[] {
  const kinds = counts.flatMap((count, kindIndex) => Array
    .from({ length: count }, () => acceleratorKinds[kindIndex]!));
  return kinds.map((kind, i) => fleetTarget(i, kind, region));
}

const fleetModel = (
  name: string,
  layers: number,
  promptTokens: number,
  answerTokens: number,
): FleetModel => ({
  name, layers, layerSize: 1, share: 1, promptTokens, answerTokens,
});

/** Fleet of the Armor Rankings deployment: 40 targets; the answers explain a ranking. */
export const armorFleet = (): Fleet => ({
  targets: targetsOf([4, 8, 10, 10, 8], 'bzh-west'), models: [fleetModel('rankings', 32, 300, 120)],
});

/** Fleet of the Route Description deployment: 40 targets; the answers are long drafts. */
export const falaisesFleet = (): Fleet => ({
  targets: targetsOf([2, 6, 12, 12, 8], 'cap-vert'), models: [fleetModel('routes', 40, 400, 600)],
});

/** A seeded fleet of all accelerator kinds; every third seed has two models. */
export function mixedFleet(seed: number, count = 40): Fleet {
  const random = createRandom(seed);
  const weights = acceleratorKinds.map(() => 0.2 + random());
  const total = weights.reduce((sum, w) => sum + w, 0);
  const counts = weights.map((w) => Math.max(1, Math.round((w / total) * count)));
  const layers = 24 + Math.floor(random() * 25);
  const first = fleetModel('first', layers, 200 + Math.floor(random() * 300), 100);
  const second = fleetModel('second', 20, 200, 200);
  const models = seed % 3 === 0
    ? [{ ...first, share: 0.6 }, { ...second, share: 0.4 }]
    : [first];
  return { targets: targetsOf(counts, `region-${seed}`), models };
}
