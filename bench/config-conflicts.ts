/**
 * Simulates a day of 8,300 configuration changes with bursts and compares the share of refused
 * commands under two conflict rules. Also times a decision at the maximum supported configuration
 * size. Run by `npm run bench:config`.
 */
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus';
import { uniformFloat64 } from 'pure-rand/distribution/uniformFloat64';
import {
  BaseError, createConfigHolder, decideCommand, diffItems, itemsOf,
} from '@verbenashunt/core';
import type { Command, Declarations, RevisionRecord } from '@verbenashunt/schema';

const changesPerDay = 8300;
const secondsPerDay = 86_400;
/** Share of the changes that automation sends in bursts to neighbouring targets. */
const burstShare = 0.5;
const burstSize = 40;
const burstSeconds = 20;
const organisations = 1200;
const targets = 1500;

export interface ConflictRow {
  /** Mean time between reading the base revision and sending the command. */
  reviewSeconds: number;
  commands: number;
  /** Share refused if a command conflicts with every change after its base revision. */
  oneHead: number;
  /** Share refused if a command conflicts with later changes of the same item only. */
  byItems: number;
}

interface PlannedCommand {
  item: string;
  /** Second of the day at which the base revision is read. */
  baseAt: number;
  /** Second of the day at which the command reaches the store. */
  commitAt: number;
}

type Random = () => number;

export function createRandom(seed: number): Random {
  const generator = xoroshiro128plus(seed);
  return () => uniformFloat64(generator);
}

/** Commands of a day: operators change organisations, automation changes targets. */
function planDay(random: Random, reviewSeconds: number): PlannedCommand[] {
  const singleCount = Math.round(changesPerDay * (1 - burstShare));
  const burstCount = Math.round((changesPerDay * burstShare) / burstSize);
  const review = () => reviewSeconds * (0.5 + random());
  const plan = (item: string, baseAt: number): PlannedCommand => ({
    item, baseAt, commitAt: baseAt + review(),
  });
  const single = Array.from({ length: singleCount }, () => plan(
    `organisation/o-${Math.floor(random() * organisations)}`,
    random() * secondsPerDay,
  ));
  const burst = Array.from({ length: burstCount }, () => {
    const [start, first] = [random() * secondsPerDay, Math.floor(random() * targets)];
    return Array.from({ length: burstSize }, (_, i) => plan(
      `fleet/f/target/t-${(first + Math.floor(random() * burstSize) + i) % targets}`,
      start + random() * burstSeconds,
    ));
  }).flat();
  return [...single, ...burst].sort((a, b) => a.commitAt - b.commitAt);
}

/** Share of refused commands, without retries. */
function conflictRate(
  planned: PlannedCommand[],
  conflictsWith: (a: PlannedCommand, b: PlannedCommand) => boolean,
): number {
  const accepted: PlannedCommand[] = [];
  const refused = planned.filter((command) => {
    const concurrent = accepted.filter(({ commitAt }) => commitAt > command.baseAt);
    const conflict = concurrent.some((other) => conflictsWith(command, other));
    if (!conflict) accepted.push(command);
    if (accepted.length > 2000) accepted.splice(0, 1000);
    return conflict;
  });
  return refused.length / planned.length;
}

export function measureConflicts(seed: number): ConflictRow[] {
  return [1, 10, 60, 300].map((reviewSeconds) => {
    const planned = planDay(createRandom(seed), reviewSeconds);
    return {
      reviewSeconds,
      commands: planned.length,
      oneHead: conflictRate(planned, () => true),
      byItems: conflictRate(planned, (a, b) => a.item === b.item),
    };
  });
}

const declarationsAtMaxSize = (): Declarations => ({
  fleets: [{
    name: 'f',
    models: [{ name: 'm', version: 'v1', layers: 48 }],
    targets: Array.from({ length: targets }, (_, i) => ({ name: `t-${i}`, kind: 'engine' as const, checksFencing: true })),
  }],
  organisations: Array.from({ length: organisations }, (_, i) => ({
    name: `o-${i}`,
    keyHashes: ['a'.repeat(64)],
    fleets: ['f'],
    limits: {
      requestsPerSecond: 10, burst: 20, concurrency: 20, weight: 1,
    },
  })),
});

export interface DecisionResult {
  stateBytes: number;
  recordBytes: number;
  decideMs: number;
  adoptMs: number;
}

/**
 * Mean time over `rounds` to decide one change and to apply its record, with the maximum supported
 * numbers of targets and organisations.
 */
export function measureDecisions(rounds = 30): DecisionResult {
  const config = createConfigHolder(() => {});
  const declarations = declarationsAtMaxSize();
  const first: Command = {
    commandId: 'c-0', kind: 'apply', baseRevision: 0, changes: diffItems(new Map(), itemsOf(declarations)),
  };
  const decide = (command: Command, since: RevisionRecord[]) => {
    const decision = decideCommand(command, 'bench', '', {
      revision: config.revision,
      record: config.record,
      items: config.items,
      recordsSinceBase: since,
    });
    if (decision.kind === 'commit') return decision.draft;
    throw new BaseError(decision.outcome.message ?? 'refused');
  };
  config.offer(decide(first, []).state);
  const totals = { decideMs: 0, adoptMs: 0 };
  const sizes = { stateBytes: 0, recordBytes: 0 };
  Array.from({ length: rounds }, (_, i) => i).forEach((i) => {
    const startedAt = performance.now();
    const draft = decide({
      commandId: `c-${i + 1}`, kind: 'drain', baseRevision: i, changes: [{ item: `drain/t-${i}`, value: '{"reason":"bench"}' }],
    }, config.recentRecords().slice(-1));
    const decidedAt = performance.now();
    config.offer(draft.record);
    totals.decideMs += decidedAt - startedAt;
    totals.adoptMs += performance.now() - decidedAt;
    sizes.stateBytes = draft.state.length;
    sizes.recordBytes = draft.record.length;
  });
  return { ...sizes, decideMs: totals.decideMs / rounds, adoptMs: totals.adoptMs / rounds };
}
