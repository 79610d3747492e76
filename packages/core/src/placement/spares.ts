/** Spare overlap: targets with memory left also hold a neighbouring stage that few others hold. */
import type { FleetTarget } from './fleet.js';
import { cutsOf, type Member, type Stage } from './stages.js';

/** Layers [lo, hi) that a target is to hold. */
export interface HeldRange {
  target: FleetTarget;
  lo: number;
  hi: number;
}

/** Holders of each stage that the loss of one target or one zone must leave. */
const wantedHolders = 2;
const wantedZones = 2;

interface Draft {
  member: Member;
  /** First stage held. */
  from: number;
  /** Stage after the last one held. */
  to: number;
}

function isThin(drafts: readonly Draft[], stage: number): boolean {
  const holders = drafts.filter(({ from, to }) => from <= stage && stage < to);
  const zones = new Set(holders.map(({ member }) => member.target.zone));
  return holders.length < wantedHolders || zones.size < wantedZones;
}

/** The holder of a neighbouring stage that can best take on this one. */
function spareFor(
  drafts: readonly Draft[],
  cuts: readonly number[],
  stage: number,
): Draft | undefined {
  const zones = new Set(drafts.filter(({ from, to }) => from <= stage && stage < to)
    .map(({ member }) => member.target.zone));
  const able = drafts.filter(({ member, from, to }) => (from === stage + 1 || to === stage)
    && cuts[Math.max(to, stage + 1)]! - cuts[Math.min(from, stage)]! <= member.fits);
  const outside = able.filter(({ member }) => !zones.has(member.target.zone));
  return (outside.length > 0 ? outside : able)
    .reduce<Draft | undefined>((best, d) => (
      !best || d.member.rate > best.member.rate ? d : best), undefined);
}

/** Ranges of all members, widened where a stage would not outlive a loss. */
export function withSpares(stages: readonly Stage[]): HeldRange[] {
  const cuts = cutsOf(stages);
  const drafts = stages.flatMap(({ members }, stage) => members
    .map((member): Draft => ({ member, from: stage, to: stage + 1 })));
  stages.forEach((_, stage) => {
    const spare = isThin(drafts, stage) ? spareFor(drafts, cuts, stage) : undefined;
    if (!spare) return;
    spare.from = Math.min(spare.from, stage);
    spare.to = Math.max(spare.to, stage + 1);
  });
  return drafts.map(({ member, from, to }) => ({
    target: member.target, lo: cuts[from]!, hi: cuts[to]!,
  }));
}
