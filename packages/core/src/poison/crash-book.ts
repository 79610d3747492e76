/**
 * Requests that crash the targets that run them, as all entries have recorded it. An entry records
 * each crash of a target with the requests that ran there, and which of those a target has answered
 * since. Both only add up, so that records may be lost, doubled or come in any order.
 */
import type { Clock } from '../clock/clock.js';

/** A target that crashed, with the fingerprints of the requests that it ran. */
export interface Crash {
  /** One life of a target. */
  target: string;
  fingerprints: readonly string[];
}

/** A request that a target has answered after these had crashed under it. */
export interface Acquittal {
  fingerprint: string;
  targets: readonly string[];
}

/** What one entry has seen; oldest first. */
export interface CrashRecord {
  crashes: readonly Crash[];
  acquittals: readonly Acquittal[];
}

export interface CrashBook {
  /** Takes over what an entry has seen; undefined when its record is gone. */
  put(entry: string, record: CrashRecord | undefined): void;
  /** Targets that crashed under a request and that no later answer speaks for. */
  targetsOf(fingerprint: string): string[];
  /** Whether the request has crashed so many targets that it must not run again. */
  isPoison(fingerprint: string): boolean;
  /** Nothing is recorded at all. */
  readonly isEmpty: boolean;
}

/** Targets that must have crashed under a request; fewer can be the crashes of others beside it. */
const maxCrashes = 3;
/** Time for which a record that doesn't change counts, in milliseconds. */
const memoryMs = 600_000;
/** Fingerprints in one entry's record at the most: 15 bytes each, in a row of 64 KB. */
const maxFingerprints = 2000;

const emptyRecord: CrashRecord = { crashes: [], acquittals: [] };

const isTexts = (value: unknown): value is string[] => Array.isArray(value)
  && value.every((text) => typeof text === 'string');

/** The record of a row's JSON; what can't be read in it is left out. */
export function validCrashRecord(value: unknown): CrashRecord {
  const { crashes, acquittals } = (value ?? {}) as Partial<Record<keyof CrashRecord, unknown>>;
  const listOf = (list: unknown) => (Array.isArray(list) ? list : [])
    .map((item: unknown) => (item ?? {}) as Record<string, unknown>);
  return {
    crashes: listOf(crashes).flatMap(({ target, fingerprints }) => (
      typeof target === 'string' && isTexts(fingerprints) ? { target, fingerprints } : [])),
    acquittals: listOf(acquittals).flatMap(({ fingerprint, targets }) => (
      typeof fingerprint === 'string' && isTexts(targets) ? { fingerprint, targets } : [])),
  };
}

/** The newest items of a list that hold no more than `room` texts together. */
function newest<T>(list: readonly T[], sizeOf: (item: T) => number, room: number): T[] {
  let left = room;
  const kept = [...list].reverse().filter((item) => {
    left -= sizeOf(item);
    return left >= 0;
  });
  return kept.reverse();
}

const bounded = ({ crashes, acquittals }: CrashRecord): CrashRecord => ({
  crashes: newest(crashes, ({ fingerprints }) => fingerprints.length, maxFingerprints),
  acquittals: newest(acquittals, ({ targets }) => targets.length, maxFingerprints),
});

/** A record with one more crash. */
export function withCrash(record: CrashRecord | undefined, crash: Crash): CrashRecord {
  const { crashes, acquittals } = record ?? emptyRecord;
  const same = crashes.find(({ target }) => target === crash.target);
  const fingerprints = [...new Set([...same?.fingerprints ?? [], ...crash.fingerprints])];
  const others = crashes.filter((other) => other !== same);
  return bounded({ crashes: [...others, { target: crash.target, fingerprints }], acquittals });
}

/** A record with one more answer to a request. */
export function withAcquittal(record: CrashRecord | undefined, acquittal: Acquittal): CrashRecord {
  const { crashes, acquittals } = record ?? emptyRecord;
  return bounded({ crashes, acquittals: [...acquittals, acquittal] });
}

export function createCrashBook(clock: Clock): CrashBook {
  const records = new Map<string, { record: CrashRecord; until: number }>();

  const recordsNow = () => [...records.values()]
    .filter(({ until }) => until > clock.now()).map(({ record }) => record);

  function targetsOf(fingerprint: string): string[] {
    const all = recordsNow();
    const crashed = all.flatMap(({ crashes }) => crashes)
      .filter(({ fingerprints }) => fingerprints.includes(fingerprint));
    const answered = new Set(all.flatMap(({ acquittals }) => acquittals)
      .filter((acquittal) => acquittal.fingerprint === fingerprint)
      .flatMap(({ targets }) => targets));
    return [...new Set(crashed.map(({ target }) => target))]
      .filter((target) => !answered.has(target));
  }

  return {
    put(entry, record) {
      if (record) records.set(entry, { record, until: clock.now() + memoryMs });
      else records.delete(entry);
    },
    targetsOf,
    isPoison: (fingerprint) => targetsOf(fingerprint).length >= maxCrashes,
    get isEmpty() {
      return records.size === 0;
    },
  };
}
