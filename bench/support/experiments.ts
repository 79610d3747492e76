/** Deployments, policies and traffic for the load experiments. */
import {
  greedyPlacement, planPlacement, throughputBound, toMember,
  type Fleet, type PlacementPlan, type PlannedPin,
} from '@verbenashunt/core';
import {
  fullViewPolicy, leastLoadPolicy, powerOfTwoPolicy, randomPolicy, roundRobinPolicy, routerPolicy,
  type ModelRunSpec, type RequestStream,
} from '@verbenashunt/stand-ins';

export const policies = {
  router: (random: () => number) => routerPolicy(random, 3),
  'full-view': fullViewPolicy,
  random: randomPolicy,
  'round-robin': roundRobinPolicy,
  'least-load': leastLoadPolicy,
  'power-of-two': powerOfTwoPolicy,
} satisfies Record<string, ModelRunSpec['policy']>;

export interface Deployment {
  name: string;
  fleet: Fleet;
  plan: PlacementPlan;
  /** Upper bound of the tokens per second for any placement and routing. */
  boundTokens: number;
  /** Upper bound of the requests per second for any placement and routing. */
  boundRequests: number;
}

export function deploymentOf(name: string, fleet: Fleet): Deployment {
  const bound = throughputBound(fleet);
  return {
    name,
    fleet,
    plan: planPlacement(fleet),
    boundTokens: bound.tokensPerSecond,
    boundRequests: bound.requestsPerSecond,
  };
}

/** Weights of ten organisations; the first two send five times the traffic of the others. */
const orgWeights = [5, 5, 1, 1, 1, 1, 1, 1, 1, 1];

/** Request streams of ten organisations, with `factor` times `boundRequests` in total. */
export function streamsOf({ fleet, boundRequests }: Deployment, factor: number): RequestStream[] {
  const total = orgWeights.reduce((sum, w) => sum + w, 0);
  return orgWeights.flatMap((weight, i) => fleet.models.map((model): RequestStream => ({
    org: `org-${i}`,
    weight,
    cls: model.answerTokens > 512 ? 'draft' : 'chat',
    model: model.name,
    requestsPerSecond: (boundRequests * factor * weight * model.share) / total,
    promptTokens: model.promptTokens,
    answerTokens: model.answerTokens,
    deadlineMs: 10_000,
  })));
}

/** Concurrent requests that an agent admits, regardless of its layers. */
const limitOf = () => 1000;

/** Assumed time between tokens, and the arrival rate during the ramp relative to the normal one. */
const rampTokenGapMs = 55;
const rampArrivalFactor = 8;

/** Length of the ramp that brings the fleet to the active requests of its steady state. */
function rampMsOf({ models }: Fleet): number {
  const meanAnswerTokens = models.reduce((sum, m) => sum + m.share * m.answerTokens, 0);
  return (meanAnswerTokens * rampTokenGapMs) / rampArrivalFactor;
}

export const baseSpec = (
  { fleet, plan }: Deployment,
  streams: RequestStream[],
): Omit<ModelRunSpec, 'policy'> => ({
  seed: 1,
  rampMs: rampMsOf(fleet),
  fleet,
  pins: plan.pins,
  entries: 3,
  streams,
  limitOf,
  reportMs: 500,
  warmUpMs: 6000,
  durationMs: 4000,
  maxWaitMs: 2000,
});

/** Greedy placement, for comparison with the planner. */
export function greedyPins({ fleet }: Deployment): PlannedPin[] {
  const model = fleet.models[0]!;
  const members = fleet.targets.map((target) => toMember(target, model));
  return greedyPlacement(model.layers, members).map(({ lo, hi, member }) => ({
    target: member.target.name, pin: { model: model.name, lo, hi },
  }));
}
