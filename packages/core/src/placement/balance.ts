/**
 * Placement by balanced stages. The layers are divided into stages, and targets are assigned,
 * fastest first, to the stage with the lowest throughput. A local search then moves and swaps
 * targets and shifts layers between stages until no single step speeds up the slowest stage.
 */
import {
  planThroughput, stageThroughput, zoneCount, type Member, type Stage,
} from './stages.js';

const maxSearchSteps = 400;
/** Smallest relative gain in throughput for which a step of the search is taken. */
const minStepGain = 1e-6;
/** Zones over which each stage should spread, so that a chain survives the loss of one zone. */
const wantedZones = 2;

function evenLengths(layers: number, count: number): number[] {
  const boundary = (i: number) => Math.round((i * layers) / count);
  return Array.from({ length: count }, (_, i) => boundary(i + 1) - boundary(i));
}

function addMember(stage: Stage, member: Member) {
  stage.members.push(member);
  Object.assign(stage, { rate: stage.rate + member.rate });
}

function removeMember(stage: Stage, member: Member) {
  stage.members.splice(stage.members.indexOf(member), 1);
  Object.assign(stage, { rate: stage.rate - member.rate });
}

/**
 * Throughput of a stage in which targets of `zone` count twice. A target is assigned to the stage
 * where this is lowest for its own zone, which spreads each stage over several zones.
 */
function zoneWeightedThroughput(stage: Stage, zone: string): number {
  const ofZone = stage.members.filter(({ target }) => target.zone === zone)
    .reduce((sum, { rate }) => sum + rate, 0);
  return (stage.rate + ofZone) / stage.length;
}

function minBy<T>(items: readonly T[], value: (item: T) => number): T | undefined {
  return items.reduce<{ item: T; value: number } | undefined>((best, item) => {
    const current = value(item);
    return !best || current < best.value ? { item, value: current } : best;
  }, undefined)?.item;
}

/** Assigns each member to the stage with the lowest throughput of those that fit its memory. */
export function assignMembers(stages: readonly Stage[], members: readonly Member[]) {
  [...members].sort((a, b) => b.rate - a.rate).forEach((member) => {
    const eligible = stages.filter(({ length }) => length <= member.maxLayers);
    const lowest = minBy(eligible, (stage) => zoneWeightedThroughput(stage, member.target.zone));
    if (lowest) addMember(lowest, member);
  });
}

/** A change to two stages, applied only if it is the best one. */
interface SearchStep {
  /** Throughput of the slower of the two stages after the step. */
  value: number;
  apply(): void;
}

/** Whether a stage keeps its zones, or at least `wantedZones`, when a member leaves. */
const keepsZoneSpread = (stage: Stage, leaving: Member, joining?: Member) => {
  const after = stage.members.filter((m) => m !== leaving).concat(joining ?? []);
  return zoneCount(after) >= Math.min(wantedZones, zoneCount(stage.members));
};

/** Steps that move a member of the donor to the slowest stage. */
function moveSteps(slowest: Stage, donor: Stage): SearchStep[] {
  return donor.members.filter((m) => m.maxLayers >= slowest.length).map((m) => ({
    value: Math.min((slowest.rate + m.rate) / slowest.length, (donor.rate - m.rate) / donor.length),
    apply() {
      if (!keepsZoneSpread(donor, m)) return;
      removeMember(donor, m);
      addMember(slowest, m);
    },
  }));
}

/** Steps that swap a member of the slowest stage with a faster one of the donor in its zone. */
function swapSteps(slowest: Stage, donor: Stage): SearchStep[] {
  return slowest.members.filter((a) => a.maxLayers >= donor.length)
    .flatMap((a) => donor.members
      .filter((b) => b.rate > a.rate && b.maxLayers >= slowest.length
        && b.target.zone === a.target.zone)
      .map((b) => ({
        value: Math.min(
          (slowest.rate - a.rate + b.rate) / slowest.length,
          (donor.rate - b.rate + a.rate) / donor.length,
        ),
        apply() {
          removeMember(slowest, a);
          removeMember(donor, b);
          addMember(slowest, b);
          addMember(donor, a);
        },
      })));
}

/** The step that shifts one layer from the slowest stage to the donor. */
function shiftSteps(slowest: Stage, donor: Stage): SearchStep[] {
  const canShift = slowest.length > 1
    && donor.members.every(({ maxLayers }) => maxLayers > donor.length);
  if (!canShift) return [];
  return [{
    value: Math.min(slowest.rate / (slowest.length - 1), donor.rate / (donor.length + 1)),
    apply() {
      Object.assign(slowest, { length: slowest.length - 1 });
      Object.assign(donor, { length: donor.length + 1 });
    },
  }];
}

/**
 * Improves the slowest stage step by step until no single step helps. `mayShiftLayers` also allows
 * steps that change the lengths of stages.
 */
export function improveStages(stages: Stage[], mayShiftLayers: boolean) {
  const improve = (): boolean => {
    const slowest = minBy(stages, stageThroughput)!;
    const before = stageThroughput(slowest);
    const steps = stages.filter((stage) => stage !== slowest).flatMap((donor) => [
      ...mayShiftLayers ? shiftSteps(slowest, donor) : [],
      ...moveSteps(slowest, donor),
      ...swapSteps(slowest, donor),
    ]);
    const best = minBy(steps, ({ value }) => -value);
    if (!best || best.value <= before * (1 + minStepGain)) return false;
    best.apply();
    return stageThroughput(slowest) > before;
  };
  Array.from({ length: maxSearchSteps }).every(improve);
}

/**
 * Divides the layers into `count` stages and balances members over them; undefined if a stage is
 * left without members.
 */
export function balancedStages(
  layers: number,
  count: number,
  members: readonly Member[],
): Stage[] | undefined {
  const stages = evenLengths(layers, count)
    .map((length): Stage => ({ length, members: [], rate: 0 }));
  const eligible = members.filter(({ maxLayers }) => stages
    .some(({ length }) => length <= maxLayers));
  if (eligible.length < count) return undefined;
  assignMembers(stages, eligible);
  improveStages(stages, true);
  return planThroughput(stages) > 0 ? stages : undefined;
}
