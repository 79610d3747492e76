/** The planner: which layers each target of a fleet is to hold. */
import { balancedStages } from './balance.js';
import { fittingLayers, type Fleet, type LayerAssignment } from './fleet.js';
import { rebalancedStages, repairedStages } from './repair.js';
import { withSpares, type HeldRange } from './spares.js';
import { splitByModel, type ModelGroup } from './split.js';
import {
  cutsOf, planThroughput, throughputAfterZoneLoss, toMember, type Stage,
} from './stages.js';

/** Layers that a target is to hold, in the form of a declaration's `pin`. */
export interface PlannedPin {
  target: string;
  pin: LayerAssignment;
}

export interface ModelPlan {
  model: string;
  /** Boundaries between stages, from 0 to the number of layers; empty when none was found. */
  cuts: number[];
  /** Requests per second that the placement can carry, by the time of its targets. */
  requestsPerSecond: number;
  /** The same when the zone whose loss hurts most is lost. */
  afterZoneLoss: number;
}

export interface PlacementPlan {
  pins: PlannedPin[];
  models: ModelPlan[];
  /** Layers that targets hold in the plan and not now. */
  movedLayers: number;
  /** Requests per second of the whole mix. */
  requestsPerSecond: number;
}

export interface PlanOptions {
  /** Time over which a better placement must earn back its moves, in seconds. */
  horizonSeconds?: number;
  /** Milliseconds to load one layer. */
  loadMsPerLayer?: number;
}

const defaultHorizonSeconds = 600;
const defaultLoadMsPerLayer = 2000;
/** Fewer stages are taken when they cost at most this share of the throughput. */
const stageTolerance = 0.005;
const maxStageCounts = 12;
const millisecondsPerSecond = 1000;

interface Draft {
  stages: Stage[];
  held: HeldRange[];
}

/** Numbers of stages worth trying: those at which one more kind of target can take part. */
function stageCounts({ model, targets }: ModelGroup): number[] {
  const fits = targets.map((target) => fittingLayers(target, model)).filter((n) => n > 0);
  const counts = [...new Set(fits)].map((n) => Math.ceil(model.layers / n));
  return [...new Set(counts.flatMap((n) => [n, n + 1]))]
    .filter((n) => n <= model.layers)
    .sort((a, b) => a - b)
    .slice(0, maxStageCounts);
}

/** Best division from nothing: the fewest stages among those with nearly the best throughput. */
function freshStages(group: ModelGroup): Stage[] | undefined {
  const { model, targets } = group;
  const members = targets.map((target) => toMember(target, model));
  const divisions = stageCounts(group)
    .map((count) => balancedStages(model.layers, count, members))
    .filter((stages) => stages !== undefined);
  const best = Math.max(...divisions.map(planThroughput));
  return divisions.find((stages) => planThroughput(stages) >= best * (1 - stageTolerance));
}

/** Layers of a draft that its targets would have to load. */
function layersToLoad(model: string, held: readonly HeldRange[]): number {
  return held.reduce((sum, { target, lo, hi }) => {
    const kept = target.held?.model === model
      ? Math.max(0, Math.min(hi, target.held.hi) - Math.max(lo, target.held.lo))
      : 0;
    return sum + (hi - lo - kept);
  }, 0);
}

/** Requests served over the horizon, less those lost while targets load. */
function worth({ model }: ModelGroup, { stages, held }: Draft, options: PlanOptions): number {
  const {
    horizonSeconds = defaultHorizonSeconds, loadMsPerLayer = defaultLoadMsPerLayer,
  } = options;
  const throughput = planThroughput(stages);
  const loads = layersToLoad(model.name, held);
  const lostPerSecond = throughput / Math.max(1, held.length);
  const loadSeconds = (loads * loadMsPerLayer) / millisecondsPerSecond;
  return throughput * horizonSeconds - lostPerSecond * loadSeconds;
}

function draftModel(group: ModelGroup, options: PlanOptions): Draft | undefined {
  return [repairedStages(group), rebalancedStages(group), freshStages(group)]
    .filter((stages) => stages !== undefined)
    .map((stages): Draft => ({ stages, held: withSpares(stages) }))
    .reduce<Draft | undefined>((best, draft) => (
      !best || worth(group, draft, options) > worth(group, best, options) ? draft : best
    ), undefined);
}

/** Plans the placement of a fleet; weighs what a better one gains against what it moves. */
export function planPlacement(fleet: Fleet, options: PlanOptions = {}): PlacementPlan {
  const drafts = splitByModel(fleet)
    .map((group) => ({ group, draft: draftModel(group, options) }));
  const models = drafts.map(({ group: { model }, draft }): ModelPlan => ({
    model: model.name,
    cuts: draft ? cutsOf(draft.stages) : [],
    requestsPerSecond: draft ? planThroughput(draft.stages) : 0,
    afterZoneLoss: draft ? throughputAfterZoneLoss(draft.stages) : 0,
  }));
  const pins = drafts.flatMap(({ group, draft }) => (draft?.held ?? [])
    .map(({ target, lo, hi }): PlannedPin => ({
      target: target.name, pin: { model: group.model.name, lo, hi },
    })));
  return {
    pins,
    models,
    movedLayers: drafts.reduce((sum, { group, draft }) => sum
      + (draft ? layersToLoad(group.model.name, draft.held) : 0), 0),
    requestsPerSecond: Math.min(...models.map((plan, k) => plan.requestsPerSecond
      / Math.max(fleet.models[k]!.share, Number.EPSILON))),
  };
}
