/** Hosts with accelerators and an engine model as deployed, for tests of layer placement. */
import type { EngineModel, LayerHost } from '@verbenashunt/core';

const kinds = {
  large: { memoryMb: 36_000, stepFactor: 3.1, readFactor: 3.2 },
  middle: { memoryMb: 21_600, stepFactor: 16, readFactor: 8.2 },
  small: { memoryMb: 14_400, stepFactor: 15, readFactor: 15 },
} as const;

export type AcceleratorKind = keyof typeof kinds;

export interface TestHost extends LayerHost {
  kind: AcceleratorKind;
}

export const engine: EngineModel = {
  layers: 80,
  layerMb: 1750,
  kvTokenBytes: 657_671,
  slots: 134,
  stepMs: 0.85,
  sequenceMs: 0.004,
  contextMsPerK: 0.005,
  prefillTokensPerS: 252_000,
  loadS: 14,
  loadsAtOnce: 6,
  activationBytes: 32_811,
  pipeMbps: 7900,
  usual: { prompt: 772, answer: 154 },
  kinds: (Object.keys(kinds) as AcceleratorKind[]).map((name) => ({ name, ...kinds[name] })),
  delays: [],
};

/** Hosts of one zone that hold no layers; their ids consist of zone, kind and number. */
export const createHosts = (
  zone: string,
  large: number,
  middle: number,
  small: number,
): TestHost[] => [
  ...Array<AcceleratorKind>(large).fill('large'),
  ...Array<AcceleratorKind>(middle).fill('middle'),
  ...Array<AcceleratorKind>(small).fill('small'),
].map((kind, i) => ({
  id: `${zone}-${kind}-${i}`,
  zone,
  kind,
  held: undefined,
  isLimited: false,
  memoryMb: kinds[kind].memoryMb,
  stepFactor: kinds[kind].stepFactor,
}));

/** Hosts in the three zones of a deployment. */
export const threeZones = [
  ...createHosts('a', 3, 3, 5), ...createHosts('b', 1, 5, 8), ...createHosts('c', 1, 7, 5),
];
