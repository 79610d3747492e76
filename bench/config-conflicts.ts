/**
 * How many commands conflict at 8,300 changes a day with bursts: one head for all, against items
 * touched. Also the time of a decision at the design size. Run by `npm run bench:config`.
 */
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus';
import { uniformFloat64 } from 'pure-rand/distribution/uniformFloat64';
import {
  BaseError, createConfigHolder, decideCommand, diffItems, itemsOf,
} from '@verbenashunt/core';
import type { Command, Declarations, RevisionRecord } from '@verbenashunt/schema';

const changesPerDay = 8300;
const secondsPerDay = 86_400;
/** Share of the changes that come in bursts, by automation that touches neighbouring targets. */
const burstShare = 0.5;
const burstSize = 40;
const burstSeconds = 20;
const organisations = 1200;
const targets = 1500;

export interface ConflictRow {
  reviewSeconds: number;
  commands: number;
  oneHead: number;
  byItems: number;
}

interface Planned {
  item: string;
  baseAt: number;
  commitAt: number;
}

type Random = () => number;

export function createRandom(seed: number): Random {
  const generator = xoroshiro128plus(seed);
  return () => uniformFloat64(generator);
}

/** Items of a day: organisations' limits by operators, targets by automation. */
function planDay(random: Random, reviewSeconds: number): Planned[] {
  const singles = Math.round(changesPerDay * (1 - burstShare));
  const bursts = Math.round((changesPerDay * burstShare) / burstSize);
  const review = () => reviewSeconds * (0.5 + random());
  const plan = (item: string, baseAt: number): Planned => ({
    item, baseAt, commitAt: baseAt + review(),
  });
  const single = Array.from({ length: singles }, () => plan(
    `organisation/o-${Math.floor(random() * organisations)}`,
    random() * secondsPerDay,
  ));
  const burst = Array.from({ length: bursts }, () => {
    const [start, first] = [random() * secondsPerDay, Math.floor(random() * targets)];
    return Array.from({ length: burstSize }, (_, i) => plan(
      `fleet/f/target/t-${(first + Math.floor(random() * burstSize) + i) % targets}`,
      start + random() * burstSeconds,
    ));
  }).flat();
  return [...single, ...burst].sort((a, b) => a.commitAt - b.commitAt);
}

/** Share of commands refused; a refused one is not tried again. */
function shareRefused(planned: Planned[], touches: (a: Planned, b: Planned) => boolean): number {
  const accepted: Planned[] = [];
  const refused = planned.filter((command) => {
    const since = accepted.filter(({ commitAt }) => commitAt > command.baseAt);
    const conflict = since.some((other) => touches(command, other));
    if (!conflict) accepted.push(command);
    if (accepted.length > 2000) accepted.splice(0, 1000);
    return conflict;
  });
  return refused.length / planned.length;
}

export function conflictRows(seed: number): ConflictRow[] {
  return [1, 10, 60, 300].map((reviewSeconds) => {
    const planned = planDay(createRandom(seed), reviewSeconds);
    return {
      reviewSeconds,
      commands: planned.length,
      oneHead: shareRefused(planned, () => true),
      byItems: shareRefused(planned, (a, b) => a.item === b.item),
    };
  });
}

const designDeclarations = (): Declarations => ({
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

export interface DecisionFigures {
  stateBytes: number;
  recordBytes: number;
  decideMs: number;
  adoptMs: number;
}

/** Time to decide and to adopt one change at the design size; mean of `rounds`. */
export function decisionFigures(rounds = 30): DecisionFigures {
  const config = createConfigHolder(() => {});
  const declarations = designDeclarations();
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
    const started = performance.now();
    const draft = decide({
      commandId: `c-${i + 1}`, kind: 'drain', baseRevision: i, changes: [{ item: `drain/t-${i}`, value: '{"reason":"bench"}' }],
    }, config.recentRecords().slice(-1));
    const decided = performance.now();
    config.offer(draft.record);
    totals.decideMs += decided - started;
    totals.adoptMs += performance.now() - decided;
    sizes.stateBytes = draft.state.length;
    sizes.recordBytes = draft.record.length;
  });
  return { ...sizes, decideMs: totals.decideMs / rounds, adoptMs: totals.adoptMs / rounds };
}
