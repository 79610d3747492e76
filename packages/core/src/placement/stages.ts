/** A division of a model's layers into stages, each served by a group of targets. */
import {
  layerRate, fittingLayers, type FleetModel, type FleetTarget,
} from './fleet.js';

/** A target as the balancer sees it. */
export interface Member {
  target: FleetTarget;
  /** Layers of requests that it can run in a second. */
  rate: number;
  /** Layers that fit in its memory. */
  fits: number;
}

export interface Stage {
  /** Number of layers. */
  length: number;
  members: Member[];
  /** Sum of the members' rates. */
  rate: number;
}

export const toMember = (target: FleetTarget, model: FleetModel): Member => ({
  target, rate: layerRate(target, model), fits: fittingLayers(target, model),
});

/** Requests per second that a stage can carry. */
export const stageThroughput = ({ rate, length }: Stage) => rate / length;

/** Requests per second that all stages can carry. */
export const planThroughput = (stages: readonly Stage[]) => Math
  .min(...stages.map(stageThroughput));

export const zonesOf = (members: readonly Member[]) => new Set(
  members.map(({ target }) => target.zone),
).size;

/** Boundaries between the stages, from 0 to the number of layers. */
export const cutsOf = (stages: readonly Stage[]) => stages
  .reduce<number[]>((cuts, { length }) => [...cuts, cuts.at(-1)! + length], [0]);

/** Throughput that is left when a whole zone is lost; the lowest over the zones. */
export function throughputAfterZoneLoss(stages: readonly Stage[]): number {
  const zones = new Set(stages.flatMap(({ members }) => members.map(({ target }) => target.zone)));
  const left = [...zones].map((zone) => planThroughput(stages.map(({ length, members }) => ({
    length,
    members,
    rate: members.filter(({ target }) => target.zone !== zone)
      .reduce((sum, { rate }) => sum + rate, 0),
  }))));
  return left.length === 0 ? 0 : Math.min(...left);
}
