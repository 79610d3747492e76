/**
 * Placement by balanced stages: the layers are cut into stages, targets are dealt out by falling
 * speed to the stage that is shortest of it, and a local search moves targets, swaps them and
 * shifts layers until the slowest stage cannot be helped.
 */
import {
  planThroughput, stageThroughput, zonesOf, type Member, type Stage,
} from './stages.js';

const maxSearchSteps = 400;
/** Smallest relative gain that a step of the search must bring. */
const minStepGain = 1e-6;
/** Zones that should hold each stage, so that the loss of one leaves a chain. */
const wantedZones = 2;

function evenLengths(layers: number, count: number): number[] {
  const cut = (i: number) => Math.round((i * layers) / count);
  return Array.from({ length: count }, (_, i) => cut(i + 1) - cut(i));
}

function put(stage: Stage, member: Member) {
  stage.members.push(member);
  Object.assign(stage, { rate: stage.rate + member.rate });
}

function take(stage: Stage, member: Member) {
  stage.members.splice(stage.members.indexOf(member), 1);
  Object.assign(stage, { rate: stage.rate - member.rate });
}

/** How well served a stage is, from the view of a target of this zone. */
function saturation(stage: Stage, zone: string): number {
  const ofZone = stage.members.filter(({ target }) => target.zone === zone)
    .reduce((sum, { rate }) => sum + rate, 0);
  return (stage.rate + ofZone) / stage.length;
}

function lowestBy<T>(items: readonly T[], value: (item: T) => number): T | undefined {
  return items.reduce<{ item: T; value: number } | undefined>((best, item) => {
    const own = value(item);
    return !best || own < best.value ? { item, value: own } : best;
  }, undefined)?.item;
}

/** Puts each member into the stage that is shortest of speed and that it can hold. */
export function deal(stages: readonly Stage[], members: readonly Member[]) {
  [...members].sort((a, b) => b.rate - a.rate).forEach((member) => {
    const able = stages.filter(({ length }) => length <= member.fits);
    const poorest = lowestBy(able, (stage) => saturation(stage, member.target.zone));
    if (poorest) put(poorest, member);
  });
}

interface Step {
  /** Throughput of the slower of the two stages after the step. */
  value: number;
  apply(): void;
}

const keepsZones = (stage: Stage, leaving: Member, coming?: Member) => {
  const after = stage.members.filter((m) => m !== leaving).concat(coming ?? []);
  return zonesOf(after) >= Math.min(wantedZones, zonesOf(stage.members));
};

function moves(weak: Stage, donor: Stage): Step[] {
  return donor.members.filter((m) => m.fits >= weak.length).map((m) => ({
    value: Math.min((weak.rate + m.rate) / weak.length, (donor.rate - m.rate) / donor.length),
    apply() {
      if (!keepsZones(donor, m)) return;
      take(donor, m);
      put(weak, m);
    },
  }));
}

function swaps(weak: Stage, donor: Stage): Step[] {
  return weak.members.filter((a) => a.fits >= donor.length)
    .flatMap((a) => donor.members
      .filter((b) => b.rate > a.rate && b.fits >= weak.length && b.target.zone === a.target.zone)
      .map((b) => ({
        value: Math.min(
          (weak.rate - a.rate + b.rate) / weak.length,
          (donor.rate - b.rate + a.rate) / donor.length,
        ),
        apply() {
          take(weak, a);
          take(donor, b);
          put(weak, b);
          put(donor, a);
        },
      })));
}

function shifts(weak: Stage, donor: Stage): Step[] {
  const able = weak.length > 1 && donor.members.every(({ fits }) => fits > donor.length);
  if (!able) return [];
  return [{
    value: Math.min(weak.rate / (weak.length - 1), donor.rate / (donor.length + 1)),
    apply() {
      Object.assign(weak, { length: weak.length - 1 });
      Object.assign(donor, { length: donor.length + 1 });
    },
  }];
}

/** Improves the slowest stage until no single step helps it. */
export function search(stages: Stage[], shiftable: boolean) {
  const improve = (): boolean => {
    const weak = lowestBy(stages, stageThroughput)!;
    const before = stageThroughput(weak);
    const steps = stages.filter((stage) => stage !== weak).flatMap((donor) => [
      ...shiftable ? shifts(weak, donor) : [], ...moves(weak, donor), ...swaps(weak, donor),
    ]);
    const best = lowestBy(steps, ({ value }) => -value);
    if (!best || best.value <= before * (1 + minStepGain)) return false;
    best.apply();
    return stageThroughput(weak) > before;
  };
  Array.from({ length: maxSearchSteps }).every(improve);
}

/** Divides the layers into `count` stages and balances the members over them. */
export function balancedStages(
  layers: number,
  count: number,
  members: readonly Member[],
): Stage[] | undefined {
  const stages = evenLengths(layers, count)
    .map((length): Stage => ({ length, members: [], rate: 0 }));
  const able = members.filter(({ fits }) => stages.some(({ length }) => length <= fits));
  if (able.length < count) return undefined;
  deal(stages, able);
  search(stages, true);
  return planThroughput(stages) > 0 ? stages : undefined;
}
