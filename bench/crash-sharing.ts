/**
 * How many targets a part of prompts crashes until all entries refuse it, by the time in which the
 * entries learn of each other's crashes. Run by `npm run bench:crash-sharing`.
 */
import {
  createCrashHistory, createPartQuarantine, ManualClock, withCrash, type CrashRecord,
} from '@verbenashunt/core';
import { createRandom, exponential } from '@verbenashunt/stand-ins';

/** Time in milliseconds from the arrival of a request at its target to the crash. */
const crashMs = 120;
/** Attempts that a request has; each crashes a target. */
const maxAttempts = 2;
/** Time in milliseconds for which requests with the part keep coming. */
const durationMs = 15_000;
/** Time in milliseconds after the fifth crash from which the users bound further arrivals. */
const contactMs = 3000;
const runs = 10;
const part = 'bad';

interface Scenario {
  name: string;
  /** Longest and shortest time in milliseconds until another entry knows of a crash. */
  shareMs: readonly [number, number];
}

const scenarios: readonly Scenario[] = [
  { name: 'each entry by itself', shareMs: [Infinity, Infinity] },
  { name: 'by the store', shareMs: [60, 550] },
  { name: 'by the store and a relay', shareMs: [60, 1030] },
  { name: 'relay silent', shareMs: [1800, 2350] },
  { name: 'connection to the store silent', shareMs: [0, 2250] },
  { name: 'the same, waiting 5 s as before', shareMs: [0, 5750] },
  { name: 'store away, sent directly', shareMs: [155, 170] },
];

/** Entries and requests with the part per second, as on a small and on the large deployment. */
const fleets = [[4, 8], [4, 1], [68, 20], [68, 4]] as const;

function createEntry(clock: ManualClock, name: string) {
  const history = createCrashHistory(clock);
  const quarantine = createPartQuarantine({
    clock, history, storeTime: () => clock.now(), onQuarantined() {}, onReleased() {},
  });
  let record: CrashRecord | undefined;
  function learn(from: string, other: CrashRecord) {
    history.put(from, other);
    quarantine.historyChanged();
  }
  return {
    learn,
    refuses: () => quarantine.findCrashing([part]) !== undefined,
    recordCrash(target: string, sentAt: number): CrashRecord {
      record = withCrash(record, {
        target, at: clock.now(), fingerprints: [], unbegun: [{ parts: [part], sentAt }],
      });
      learn(name, record);
      return record;
    },
  };
}

function play({ shareMs: [least, most] }: Scenario, count: number, rate: number, seed: number) {
  const random = createRandom(seed);
  const clock = new ManualClock();
  const names = Array.from({ length: count }, (_, i) => `entry-${i}`);
  const entries = new Map(names.map((name) => [name, createEntry(clock, name)]));
  const crashTimes: number[] = [];

  function send(name: string, attempt: number) {
    const entry = entries.get(name)!;
    if (entry.refuses()) return;
    const sentAt = clock.now();
    clock.after(crashMs, () => {
      crashTimes.push(clock.now());
      const record = entry.recordCrash(`target-${crashTimes.length}`, sentAt);
      const others = Number.isFinite(least) ? names.filter((other) => other !== name) : [];
      others.forEach((other) => {
        const delayMs = least + random() * (most - least);
        clock.after(delayMs, () => entries.get(other)!.learn(name, record));
      });
      if (attempt < maxAttempts) send(name, attempt + 1);
    });
  }

  function arrive() {
    send(names[Math.floor(random() * count)]!, 1);
    clock.after(exponential(random, 1000 / rate), arrive);
  }
  arrive();
  clock.advance(durationMs);
  const boundAt = (crashTimes[4] ?? Infinity) + contactMs;
  return { crashes: crashTimes.length, late: crashTimes.filter((at) => at > boundAt).length };
}

const columns = fleets.map(([count, rate]) => `${count} entries, ${rate}/s`);
process.stdout.write(`crashes (most of ${runs} runs); in brackets those later than the bound\n`);
process.stdout.write(`| | ${columns.join(' | ')} |\n| --- |${' --- |'.repeat(columns.length)}\n`);
scenarios.forEach((scenario) => {
  const cells = fleets.map(([count, rate]) => {
    const results = Array.from({ length: runs }, (_, seed) => play(scenario, count, rate, seed));
    const mostOf = (values: number[]) => Math.max(...values);
    return `${mostOf(results.map(({ crashes }) => crashes))} (${mostOf(results.map(({ late }) => late))})`;
  });
  process.stdout.write(`| ${scenario.name} | ${cells.join(' | ')} |\n`);
});
