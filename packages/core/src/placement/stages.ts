/** Division of a model's layers into stages, each served by a group of targets. */
import {
  layerRate, fittingLayers, type FleetModel, type FleetTarget,
} from './fleet.js';

/** A target and its capacity for one model. */
export interface Member {
  target: FleetTarget;
  /** Layers of requests that it can run per second. */
  rate: number;
  /** Layers that fit in its memory. */
  maxLayers: number;
}

export interface Stage {
  /** Number of layers. */
  length: number;
  members: Member[];
  /** Sum of the members' rates. */
  rate: number;
}

export const toMember = (target: FleetTarget, model: FleetModel): Member => ({
  target, rate: layerRate(target, model), maxLayers: fittingLayers(target, model),
});

/** Requests per second that a stage can carry. */
export const stageThroughput = ({ rate, length }: Stage) => rate / length;

/** Requests per second that all stages can carry. */
export const planThroughput = (stages: readonly Stage[]) => Math
  .min(...stages.map(stageThroughput));

export const zoneCount = (members: readonly Member[]) => new Set(
  members.map(({ target }) => target.zone),
).size;

/** Boundaries between the stages, from 0 to the number of layers. */
export const stageBoundaries = (stages: readonly Stage[]) => stages
  .reduce<number[]>((boundaries, { length }) => [...boundaries, boundaries.at(-1)! + length], [0]);

/** Lowest throughput that remains after the loss of any one zone. */
export function throughputAfterZoneLoss(stages: readonly Stage[]): number {
  const zones = new Set(stages.flatMap(({ members }) => members.map(({ target }) => target.zone)));
  const remaining = [...zones].map((zone) => planThroughput(stages.map(({ length, members }) => ({
    length,
    members,
    rate: members.filter(({ target }) => target.zone !== zone)
      .reduce((sum, { rate }) => sum + rate, 0),
  }))));
  return remaining.length === 0 ? 0 : Math.min(...remaining);
}
