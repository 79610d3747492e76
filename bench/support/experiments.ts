/** Experiments of the decision benches. */
import {
  planPlacement, throughputBound, type Fleet, type FleetTarget, type PlacementPlan,
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
  /** Tokens per second that no placement and routing can exceed. */
  boundTokens: number;
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

/** Ten organisations, two of them with five times the traffic of the others. */
const orgWeights = [5, 5, 1, 1, 1, 1, 1, 1, 1, 1];

/** Streams of ten organisations at a factor of the bound's request rate. */
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

/** Limit that an agent starts from; it adapts from there. */
const limitOf = ({ layerMs }: FleetTarget) => Math.round(24 / layerMs);

export const baseSpec = (
  { fleet, plan }: Deployment,
  streams: RequestStream[],
): Omit<ModelRunSpec, 'policy'> => ({
  seed: 1,
  fleet,
  pins: plan.pins,
  entries: 3,
  streams,
  limitOf,
  reportMs: 500,
  warmUpMs: 2000,
  durationMs: 1500,
  maxWaitMs: 2000,
});
