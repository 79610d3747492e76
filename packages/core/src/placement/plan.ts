/** Placement planner: decides which layers each target of a fleet holds. */
import { balancedStages } from './balance.js';
import { fittingLayers, type Fleet, type LayerAssignment } from './fleet.js';
import { rebalancedStages, repairedStages } from './repair.js';
import { addOverlap, type PlannedRange } from './overlap.js';
import { splitByModel, type ModelGroup } from './split.js';
import {
  stageBoundaries, planThroughput, throughputAfterZoneLoss, toMember, type Stage,
} from './stages.js';

/** Layers that a target should hold, in the form of the `pin` of a declaration. */
export interface PlannedPin {
  target: string;
  pin: LayerAssignment;
}

export interface ModelPlan {
  model: string;
  /** Stage boundaries, from 0 to the number of layers; empty if no placement was found. */
  boundaries: number[];
  /** Requests per second that the placement can carry, limited by the speed of its targets. */
  requestsPerSecond: number;
  /** Requests per second after the loss of the zone that costs the most throughput. */
  afterZoneLoss: number;
}

export interface PlacementPlan {
  pins: PlannedPin[];
  models: ModelPlan[];
  /** Number of layers that targets have to load for the plan. */
  movedLayers: number;
  /** Requests per second over all models. */
  requestsPerSecond: number;
}

export interface PlanOptions {
  /** Seconds within which a better placement must make up for the requests lost in loading. */
  horizonSeconds?: number;
  /** Milliseconds to load one layer. */
  loadMsPerLayer?: number;
}

const defaultHorizonSeconds = 600;
const defaultLoadMsPerLayer = 2000;
/** Fewer stages are preferred if that costs at most this share of the throughput. */
const stageTolerance = 0.005;
/** Most stage counts that are tried for one model. */
const maxCandidateCounts = 12;
const millisecondsPerSecond = 1000;

/** A possible placement of one model. */
interface CandidatePlan {
  stages: Stage[];
  ranges: PlannedRange[];
}

/**
 * Stage counts to try: for each memory size of targets, the lowest count with stages that fit,
 * and one more.
 */
function candidateStageCounts({ model, targets }: ModelGroup): number[] {
  const maxLayers = targets.map((target) => fittingLayers(target, model)).filter((n) => n > 0);
  const counts = [...new Set(maxLayers)].map((n) => Math.ceil(model.layers / n));
  return [...new Set(counts.flatMap((n) => [n, n + 1]))]
    .filter((n) => n <= model.layers)
    .sort((a, b) => a - b)
    .slice(0, maxCandidateCounts);
}

/**
 * Stages planned without regard to the layers held now: the fewest whose throughput is within
 * `stageTolerance` of the best.
 */
function stagesFromScratch(group: ModelGroup): Stage[] | undefined {
  const { model, targets } = group;
  const members = targets.map((target) => toMember(target, model));
  const divisions = candidateStageCounts(group)
    .map((count) => balancedStages(model.layers, count, members))
    .filter((stages) => stages !== undefined);
  const best = Math.max(...divisions.map(planThroughput));
  return divisions.find((stages) => planThroughput(stages) >= best * (1 - stageTolerance));
}

/** Number of layers of the ranges that their targets don't hold yet. */
function layersToLoad(model: string, ranges: readonly PlannedRange[]): number {
  return ranges.reduce((sum, { target, lo, hi }) => {
    const kept = target.held?.model === model
      ? Math.max(0, Math.min(hi, target.held.hi) - Math.max(lo, target.held.lo))
      : 0;
    return sum + (hi - lo - kept);
  }, 0);
}

/** Requests served within the horizon, less those lost while targets load layers. */
function expectedRequests(
  { model }: ModelGroup,
  { stages, ranges }: CandidatePlan,
  options: PlanOptions,
): number {
  const {
    horizonSeconds = defaultHorizonSeconds, loadMsPerLayer = defaultLoadMsPerLayer,
  } = options;
  const throughput = planThroughput(stages);
  const layerCount = layersToLoad(model.name, ranges);
  const lostPerSecond = throughput / Math.max(1, ranges.length);
  const loadSeconds = (layerCount * loadMsPerLayer) / millisecondsPerSecond;
  return throughput * horizonSeconds - lostPerSecond * loadSeconds;
}

/** The best of three candidates: repaired stages, rebalanced stages and stages from scratch. */
function planModel(group: ModelGroup, options: PlanOptions): CandidatePlan | undefined {
  return [repairedStages(group), rebalancedStages(group), stagesFromScratch(group)]
    .filter((stages) => stages !== undefined)
    .map((stages): CandidatePlan => ({ stages, ranges: addOverlap(stages) }))
    .reduce<CandidatePlan | undefined>((best, candidate) => (
      !best || expectedRequests(group, candidate, options) > expectedRequests(group, best, options)
        ? candidate : best
    ), undefined);
}

/**
 * Plans the placement of a fleet. For each model, takes the candidate that serves the most requests
 * within the horizon, which weighs higher throughput against the time to load layers.
 */
export function planPlacement(fleet: Fleet, options: PlanOptions = {}): PlacementPlan {
  const modelPlans = splitByModel(fleet)
    .map((group) => ({ group, candidate: planModel(group, options) }));
  const models = modelPlans.map(({ group: { model }, candidate }): ModelPlan => ({
    model: model.name,
    boundaries: candidate ? stageBoundaries(candidate.stages) : [],
    requestsPerSecond: candidate ? planThroughput(candidate.stages) : 0,
    afterZoneLoss: candidate ? throughputAfterZoneLoss(candidate.stages) : 0,
  }));
  const pins = modelPlans.flatMap(({ group, candidate }) => (candidate?.ranges ?? [])
    .map(({ target, lo, hi }): PlannedPin => ({
      target: target.name, pin: { model: group.model.name, lo, hi },
    })));
  return {
    pins,
    models,
    movedLayers: modelPlans.reduce((sum, { group, candidate }) => sum
      + (candidate ? layersToLoad(group.model.name, candidate.ranges) : 0), 0),
    requestsPerSecond: Math.min(...models.map((plan, k) => plan.requestsPerSecond
      / Math.max(fleet.models[k]!.share, Number.EPSILON))),
  };
}
