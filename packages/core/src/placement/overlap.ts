/** Overlap: targets with free memory also hold a neighbouring stage that has too few holders. */
import type { FleetTarget } from './fleet.js';
import { stageBoundaries, type Member, type Stage } from './stages.js';

/** Layers [lo, hi) that a target should hold. */
export interface PlannedRange {
  target: FleetTarget;
  lo: number;
  hi: number;
}

/** Holders and zones that each stage should have, to survive the loss of one target or zone. */
const wantedHolders = 2;
const wantedZones = 2;

/** Consecutive stages that a member holds. */
interface StageSpan {
  member: Member;
  /** First stage held. */
  from: number;
  /** Index after the last stage held. */
  to: number;
}

function lacksRedundancy(spans: readonly StageSpan[], stage: number): boolean {
  const holders = spans.filter(({ from, to }) => from <= stage && stage < to);
  const zones = new Set(holders.map(({ member }) => member.target.zone));
  return holders.length < wantedHolders || zones.size < wantedZones;
}

/**
 * The span to extend over a stage: the fastest neighbour with enough memory, from a zone without a
 * holder of the stage if possible.
 */
function chooseExtension(
  spans: readonly StageSpan[],
  boundaries: readonly number[],
  stage: number,
): StageSpan | undefined {
  const zones = new Set(spans.filter(({ from, to }) => from <= stage && stage < to)
    .map(({ member }) => member.target.zone));
  const eligible = spans.filter(({ member, from, to }) => (from === stage + 1 || to === stage)
    && boundaries[Math.max(to, stage + 1)]! - boundaries[Math.min(from, stage)]!
      <= member.maxLayers);
  const inOtherZones = eligible.filter(({ member }) => !zones.has(member.target.zone));
  return (inOtherZones.length > 0 ? inOtherZones : eligible)
    .reduce<StageSpan | undefined>((best, span) => (
      !best || span.member.rate > best.member.rate ? span : best), undefined);
}

/** Ranges of all members, extended over neighbouring stages that lack redundancy. */
export function addOverlap(stages: readonly Stage[]): PlannedRange[] {
  const boundaries = stageBoundaries(stages);
  const spans = stages.flatMap(({ members }, stage) => members
    .map((member): StageSpan => ({ member, from: stage, to: stage + 1 })));
  stages.forEach((_, stage) => {
    const extension = lacksRedundancy(spans, stage)
      ? chooseExtension(spans, boundaries, stage) : undefined;
    if (!extension) return;
    extension.from = Math.min(extension.from, stage);
    extension.to = Math.max(extension.to, stage + 1);
  });
  return spans.map(({ member, from, to }) => ({
    target: member.target, lo: boundaries[from]!, hi: boundaries[to]!,
  }));
}
