/**
 * Detects poison requests: requests that crash the targets that run them. Each entry records the
 * crashes of targets with the requests that ran there, and the requests that a target answered
 * afterwards. Every entry combines the records of all. Records only accumulate, so they may be
 * lost, repeated or reordered.
 */
import type { Clock } from '../clock/clock.js';
import { groupBy } from '../serving/group-by.js';
import type { PartCrash, UnbegunRequest } from './crashing-parts.js';

/** A target that crashed, with the requests that it ran. */
export interface Crash extends PartCrash {
  /** Fingerprints of all its requests. */
  fingerprints: readonly string[];
}

/** A request that was answered after these targets had crashed while they ran it. */
export interface AnswerAfterCrash {
  fingerprint: string;
  targets: readonly string[];
}

/** An answer that began on a prompt with this part. */
export interface BegunPart {
  part: string;
  /** When the last one began, in milliseconds on the store's clock. */
  at: number;
}

/** The crashes and answers that one entry has seen, oldest first. */
export interface CrashRecord {
  crashes: readonly Crash[];
  /** Answers after crashes; the name is that of the stored field. */
  acquittals: readonly AnswerAfterCrash[];
  /** Parts that crashes have made suspect and on which an answer has begun since. */
  begun: readonly BegunPart[];
}

export interface CrashHistory {
  /**
   * Adds what a record of an entry holds, which may also be an older one; undefined removes all
   * that is known of the entry.
   */
  put(entry: string, record: CrashRecord | undefined): void;
  /** Targets that crashed while they ran a request, unless it was answered afterwards. */
  targetsOf(fingerprint: string): string[];
  /** Whether a request has crashed so many targets that it must not run again. */
  isPoison(fingerprint: string): boolean;
  /** All crashes, each with the outstanding requests of all entries. */
  partCrashes(): PartCrash[];
  /** When an answer last began on a part, as entries have recorded; -Infinity if none did. */
  begunAt(part: string): number;
  readonly isEmpty: boolean;
}

/** Crashed targets that make a request poison; fewer may be due to other requests on them. */
const poisonCrashCount = 3;
/** Milliseconds after which a record that was not updated expires. */
const recordTtlMs = 600_000;
/** Maximum number of fingerprints in a record: 15 bytes each, in a row of at most 64 KB. */
const maxFingerprints = 2000;

/** Maximum number of unbegun requests recorded per crash and entry; the latest are kept. */
const maxUnbegunPerCrash = 32;
/** Maximum number of unbegun requests in a record: about 60 bytes each. */
const maxUnbegun = 150;
/** Maximum number of begun parts in a record: about 40 bytes each. */
const maxBegun = 100;

const emptyRecord: CrashRecord = { crashes: [], acquittals: [], begun: [] };

const isStringArray = (value: unknown): value is string[] => Array.isArray(value)
  && value.every((item) => typeof item === 'string');

const listOf = (list: unknown) => (Array.isArray(list) ? list : [])
  .map((item: unknown) => (item ?? {}) as Record<string, unknown>);

const parseUnbegun = (list: unknown): UnbegunRequest[] => listOf(list)
  .flatMap(({ parts, sentAt }) => (
    isStringArray(parts) && Number.isFinite(sentAt) ? { parts, sentAt: sentAt as number } : []));

/** Converts the parsed JSON of a row to a record; leaves out invalid parts. */
export function parseCrashRecord(value: unknown): CrashRecord {
  const {
    crashes, acquittals, begun,
  } = (value ?? {}) as Partial<Record<keyof CrashRecord, unknown>>;
  return {
    crashes: listOf(crashes).flatMap(({
      target, fingerprints, at, unbegun,
    }) => (typeof target === 'string' && isStringArray(fingerprints)
      ? {
        target, fingerprints, at: Number(at ?? 0) || 0, unbegun: parseUnbegun(unbegun),
      }
      : [])),
    acquittals: listOf(acquittals).flatMap(({ fingerprint, targets }) => (
      typeof fingerprint === 'string' && isStringArray(targets) ? { fingerprint, targets } : [])),
    begun: listOf(begun).flatMap(({ part, at }) => (
      typeof part === 'string' && Number.isFinite(at) ? { part, at: at as number } : [])),
  };
}

/** The newest items of a list whose sizes add up to no more than `capacity`. */
function newestWithin<T>(list: readonly T[], sizeOf: (item: T) => number, capacity: number): T[] {
  let remaining = capacity;
  const kept = [...list].reverse().filter((item) => {
    remaining -= sizeOf(item);
    return remaining >= 0;
  });
  return kept.reverse();
}

function limitSize({ crashes, acquittals, begun }: CrashRecord): CrashRecord {
  const withFingerprints = newestWithin(
    crashes,
    ({ fingerprints }) => fingerprints.length,
    maxFingerprints,
  );
  return {
    crashes: newestWithin(withFingerprints, ({ unbegun }) => unbegun.length, maxUnbegun),
    acquittals: newestWithin(acquittals, ({ targets }) => targets.length, maxFingerprints),
    begun: begun.slice(-maxBegun),
  };
}

const sameUnbegun = (a: UnbegunRequest, b: UnbegunRequest) => a.sentAt === b.sentAt
  && a.parts.join() === b.parts.join();

/** Two observations of the same crash as one. */
const mergeCrashes = <T extends PartCrash>(a: T, b: T): T => ({
  ...a,
  at: Math.min(a.at, b.at),
  unbegun: [
    ...a.unbegun,
    ...b.unbegun.filter((req) => !a.unbegun.some((other) => sameUnbegun(req, other))),
  ],
});

/** Adds a crash to a record and drops the oldest ones if it gets too large. */
export function withCrash(record: CrashRecord | undefined, crash: Crash): CrashRecord {
  const before = record ?? emptyRecord;
  const existing = before.crashes.find(({ target }) => target === crash.target);
  const { unbegun, ...merged } = existing ? mergeCrashes(existing, crash) : crash;
  const fingerprints = [...new Set([...existing?.fingerprints ?? [], ...crash.fingerprints])];
  const others = before.crashes.filter((other) => other !== existing);
  const added = { ...merged, fingerprints, unbegun: unbegun.slice(-maxUnbegunPerCrash) };
  return limitSize({ ...before, crashes: [...others, added] });
}

/** Adds an answer after a crash to a record and drops the oldest ones if it gets too large. */
export function withAnswerAfterCrash(
  record: CrashRecord | undefined,
  answer: AnswerAfterCrash,
): CrashRecord {
  const before = record ?? emptyRecord;
  return limitSize({ ...before, acquittals: [...before.acquittals, answer] });
}

/** Adds begun parts to a record, of each the last time that is known. */
export function withBegunParts(
  record: CrashRecord | undefined,
  begun: readonly BegunPart[],
): CrashRecord {
  const before = record ?? emptyRecord;
  const times = new Map(before.begun.map(({ part, at }) => [part, at]));
  const added = begun.map(({ part, at }) => ({ part, at: Math.max(at, times.get(part) ?? at) }));
  const parts = new Set(begun.map(({ part }) => part));
  const others = before.begun.filter(({ part }) => !parts.has(part));
  return limitSize({ ...before, begun: [...others, ...added] });
}

/** All that two records of one entry hold, the newer one last. */
const mergeRecords = (older: CrashRecord, newer: CrashRecord): CrashRecord => withBegunParts(
  newer.acquittals.filter((answer) => !older.acquittals.some(({ fingerprint, targets }) => (
    fingerprint === answer.fingerprint && targets.join() === answer.targets.join())))
    .reduce(withAnswerAfterCrash, newer.crashes.reduce(withCrash, older)),
  newer.begun,
);

/** When an answer last began on each part, as any of the records says. */
function lastBegun(records: readonly CrashRecord[]): Map<string, number> {
  const times = new Map<string, number>();
  records.flatMap(({ begun }) => begun).forEach(({ part, at }) => {
    times.set(part, Math.max(at, times.get(part) ?? -Infinity));
  });
  return times;
}

export function createCrashHistory(clock: Clock): CrashHistory {
  const records = new Map<string, { record: CrashRecord; until: number }>();
  /** Undefined until it is needed after a change. */
  let begunTimes: Map<string, number> | undefined;

  const currentRecords = () => [...records.values()]
    .filter(({ until }) => until > clock.now()).map(({ record }) => record);

  function targetsOf(fingerprint: string): string[] {
    const all = currentRecords();
    const crashed = all.flatMap(({ crashes }) => crashes)
      .filter(({ fingerprints }) => fingerprints.includes(fingerprint));
    const answered = new Set(all.flatMap(({ acquittals }) => acquittals)
      .filter((answer) => answer.fingerprint === fingerprint)
      .flatMap(({ targets }) => targets));
    return [...new Set(crashed.map(({ target }) => target))]
      .filter((target) => !answered.has(target));
  }

  return {
    put(entry, record) {
      if (record) {
        const known = records.get(entry);
        const merged = known ? mergeRecords(known.record, record) : record;
        records.set(entry, { record: merged, until: clock.now() + recordTtlMs });
      } else records.delete(entry);
      begunTimes = undefined;
    },
    targetsOf,
    partCrashes() {
      const crashes: PartCrash[] = currentRecords().flatMap((record) => record.crashes);
      return [...groupBy(crashes, ({ target }) => target).values()]
        .map((observed) => observed.reduce(mergeCrashes));
    },
    begunAt(part) {
      begunTimes ??= lastBegun([...records.values()].map(({ record }) => record));
      return begunTimes.get(part) ?? -Infinity;
    },
    isPoison: (fingerprint) => targetsOf(fingerprint).length >= poisonCrashCount,
    get isEmpty() {
      return records.size === 0;
    },
  };
}
