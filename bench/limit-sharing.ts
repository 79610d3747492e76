/**
 * How much of the rate limits of targets entries use together, and how far they pass them, by the
 * way in which they share a limit. Run by `npm run bench:limit-sharing`.
 */
import { createTargetBuckets, ManualClock, type TargetBuckets } from '@verbenashunt/core';
import { createRandom, exponential } from '@verbenashunt/stand-ins';

/** Requests per second that a target takes. */
const limitPerS = 2;
/** Length of the windows in which the users count requests, in milliseconds. */
const windowMs = 4000;
const durationMs = 60_000;
/** Requests per second for each that the targets take. */
const overload = 1.5;
const runs = 10;

interface Fleet {
  entries: number;
  targets: number;
}

/** The first entry of a small zone gets most requests, as callers are spread by a hash. */
const fleets: readonly Fleet[] = [{ entries: 2, targets: 4 }, { entries: 14, targets: 10 }];

type Policy = (fleet: Fleet, clock: ManualClock) => (entry: number, target: number) => boolean;

const isTaken = (buckets: TargetBuckets, target: number, perS: number) => buckets
  .take(String(target), perS) === 0;

const policies: Record<string, Policy> = {
  'each entry by itself': ({ entries }, clock) => {
    const buckets = Array.from({ length: entries }, () => createTargetBuckets(clock));
    return (entry, target) => isTaken(buckets[entry]!, target, limitPerS);
  },
  'equal parts': ({ entries }, clock) => {
    const buckets = Array.from({ length: entries }, () => createTargetBuckets(clock));
    return (entry, target) => isTaken(buckets[entry]!, target, limitPerS / entries);
  },
  'one bucket for all': (_, clock) => {
    const buckets = createTargetBuckets(clock);
    return (__, target) => isTaken(buckets, target, limitPerS);
  },
  'one bucket, a second one for 1 s each 10 s': (_, clock) => {
    const [first, second] = [createTargetBuckets(clock), createTargetBuckets(clock)];
    return (entry, target) => {
      const isSplit = clock.now() % 10_000 < 1000 && entry % 2 === 1;
      return isTaken(isSplit ? second : first, target, limitPerS);
    };
  },
};

/** Most requests in any window. */
const mostInWindow = (times: readonly number[]) => Math.max(0, ...times
  .map((start, i) => times.slice(i).filter((time) => time < start + windowMs).length));

function play(fleet: Fleet, policy: Policy, seed: number) {
  const random = createRandom(seed);
  const clock = new ManualClock();
  const mayStart = policy(fleet, clock);
  const sent = Array.from({ length: fleet.targets }, (): number[] => []);
  const perS = overload * limitPerS * fleet.targets;

  /** Lower entries get more of the requests. */
  const drawEntry = () => Math.floor(fleet.entries * random() ** 1.5);

  function arrive() {
    const entry = drawEntry();
    const first = Math.floor(random() * fleet.targets);
    const target = sent.map((_, i) => (first + i) % fleet.targets)
      .find((candidate) => mayStart(entry, candidate));
    if (target !== undefined) sent[target]!.push(clock.now());
    clock.after(exponential(random, 1000 / perS), arrive);
  }
  arrive();
  clock.advance(durationMs);
  const total = sent.reduce((sum, times) => sum + times.length, 0);
  return {
    most: Math.max(...sent.map(mostInWindow)),
    used: total / ((fleet.targets * limitPerS * durationMs) / 1000),
  };
}

const allowed = (1.5 * limitPerS * windowMs) / 1000 + 5;
const columns = fleets.map(({ entries, targets }) => `${entries} entries, ${targets} targets`);
process.stdout.write(`most requests in 4 s at one target (${allowed} allowed), share of the limits used\n`);
process.stdout.write(`| | ${columns.join(' | ')} |\n| --- |${' --- |'.repeat(columns.length)}\n`);
Object.entries(policies).forEach(([name, policy]) => {
  const cells = fleets.map((fleet) => {
    const results = Array.from({ length: runs }, (_, seed) => play(fleet, policy, seed));
    const used = results.reduce((sum, result) => sum + result.used, 0) / runs;
    return `${Math.max(...results.map(({ most }) => most))}, ${used.toFixed(2)}`;
  });
  process.stdout.write(`| ${name} | ${cells.join(' | ')} |\n`);
});
