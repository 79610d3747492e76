/**
 * Detects poison requests: requests that crash the targets that run them. Each entry records the
 * crashes of targets with the requests that ran there, and the requests that a target answered
 * afterwards. Every entry combines the records of all. Records only accumulate, so they may be
 * lost, repeated or reordered.
 */
import type { Clock } from '../clock/clock.js';

/** A target that crashed, with the fingerprints of the requests that it ran. */
export interface Crash {
  /** One incarnation of a target. */
  target: string;
  fingerprints: readonly string[];
}

/** A request that was answered after these targets had crashed while they ran it. */
export interface AnswerAfterCrash {
  fingerprint: string;
  targets: readonly string[];
}

/** The crashes and answers that one entry has seen, oldest first. */
export interface CrashRecord {
  crashes: readonly Crash[];
  /** Answers after crashes; the name is that of the stored field. */
  acquittals: readonly AnswerAfterCrash[];
}

export interface CrashHistory {
  /** Sets the record of an entry; undefined removes it. */
  put(entry: string, record: CrashRecord | undefined): void;
  /** Targets that crashed while they ran a request, unless it was answered afterwards. */
  targetsOf(fingerprint: string): string[];
  /** Whether a request has crashed so many targets that it must not run again. */
  isPoison(fingerprint: string): boolean;
  readonly isEmpty: boolean;
}

/** Crashed targets that make a request poison; fewer may be due to other requests on them. */
const poisonCrashCount = 3;
/** Milliseconds after which a record that was not updated expires. */
const recordTtlMs = 600_000;
/** Maximum number of fingerprints in a record: 15 bytes each, in a row of at most 64 KB. */
const maxFingerprints = 2000;

const emptyRecord: CrashRecord = { crashes: [], acquittals: [] };

const isStringArray = (value: unknown): value is string[] => Array.isArray(value)
  && value.every((item) => typeof item === 'string');

/** Converts the parsed JSON of a row to a record; leaves out invalid parts. */
export function parseCrashRecord(value: unknown): CrashRecord {
  const { crashes, acquittals } = (value ?? {}) as Partial<Record<keyof CrashRecord, unknown>>;
  const listOf = (list: unknown) => (Array.isArray(list) ? list : [])
    .map((item: unknown) => (item ?? {}) as Record<string, unknown>);
  return {
    crashes: listOf(crashes).flatMap(({ target, fingerprints }) => (
      typeof target === 'string' && isStringArray(fingerprints) ? { target, fingerprints } : [])),
    acquittals: listOf(acquittals).flatMap(({ fingerprint, targets }) => (
      typeof fingerprint === 'string' && isStringArray(targets) ? { fingerprint, targets } : [])),
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

const limitSize = ({ crashes, acquittals }: CrashRecord): CrashRecord => ({
  crashes: newestWithin(crashes, ({ fingerprints }) => fingerprints.length, maxFingerprints),
  acquittals: newestWithin(acquittals, ({ targets }) => targets.length, maxFingerprints),
});

/** Adds a crash to a record and drops the oldest ones if it gets too large. */
export function withCrash(record: CrashRecord | undefined, crash: Crash): CrashRecord {
  const { crashes, acquittals } = record ?? emptyRecord;
  const existing = crashes.find(({ target }) => target === crash.target);
  const fingerprints = [...new Set([...existing?.fingerprints ?? [], ...crash.fingerprints])];
  const others = crashes.filter((other) => other !== existing);
  return limitSize({ crashes: [...others, { target: crash.target, fingerprints }], acquittals });
}

/** Adds an answer after a crash to a record and drops the oldest ones if it gets too large. */
export function withAnswerAfterCrash(
  record: CrashRecord | undefined,
  answer: AnswerAfterCrash,
): CrashRecord {
  const { crashes, acquittals } = record ?? emptyRecord;
  return limitSize({ crashes, acquittals: [...acquittals, answer] });
}

export function createCrashHistory(clock: Clock): CrashHistory {
  const records = new Map<string, { record: CrashRecord; until: number }>();

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
      if (record) records.set(entry, { record, until: clock.now() + recordTtlMs });
      else records.delete(entry);
    },
    targetsOf,
    isPoison: (fingerprint) => targetsOf(fingerprint).length >= poisonCrashCount,
    get isEmpty() {
      return records.size === 0;
    },
  };
}
