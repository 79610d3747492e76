/**
 * Record of an entry on crashes of targets, with the requests that ran there, and on answers after
 * them. Records only accumulate, so they may be lost, repeated or reordered.
 */
import { mergeCrashes, type PartCrash, type UnbegunRequest } from './crashing-parts.js';

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

/** Maximum number of fingerprints in a record. */
const maxFingerprints = 2000;

/** Maximum number of unbegun requests recorded per crash and entry; the latest are kept. */
const maxUnbegunPerCrash = 32;
/** Maximum number of unbegun requests in a record. */
const maxUnbegun = 150;
/** Maximum sizes in bytes of the lists of a record as JSON; a row of the store takes 64 KB. */
const maxCrashesBytes = 40_000;
const maxAcquittalsBytes = 12_000;
const maxBegunBytes = 6000;

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

/** Sizes in bytes by item; items are immutable, so that a size stays valid. */
const knownSizes = new WeakMap<object, number>();

function bytesOf(item: object): number {
  const known = knownSizes.get(item);
  if (known !== undefined) return known;
  const size = Buffer.byteLength(JSON.stringify(item)) + 1;
  knownSizes.set(item, size);
  return size;
}

function limitSize({ crashes, acquittals, begun }: CrashRecord): CrashRecord {
  const withFingerprints = newestWithin(
    crashes,
    ({ fingerprints }) => fingerprints.length,
    maxFingerprints,
  );
  const withUnbegun = newestWithin(withFingerprints, ({ unbegun }) => unbegun.length, maxUnbegun);
  return {
    crashes: newestWithin(withUnbegun, bytesOf, maxCrashesBytes),
    acquittals: newestWithin(acquittals, bytesOf, maxAcquittalsBytes),
    begun: newestWithin(begun, bytesOf, maxBegunBytes),
  };
}

/** Two observations of a crash as one; returns `existing` itself if `crash` adds nothing. */
function mergeObserved(existing: Crash, crash: Crash): Crash {
  const { unbegun, ...merged } = mergeCrashes(existing, crash);
  const fingerprints = [...new Set([...existing.fingerprints, ...crash.fingerprints])];
  const isKnown = merged.at === existing.at && unbegun.length === existing.unbegun.length
    && unbegun.length <= maxUnbegunPerCrash && fingerprints.length === existing.fingerprints.length;
  return isKnown
    ? existing
    : { ...merged, fingerprints, unbegun: unbegun.slice(-maxUnbegunPerCrash) };
}

function addCrash(record: CrashRecord, crash: Crash): CrashRecord {
  const existing = record.crashes.find(({ target }) => target === crash.target);
  const added = mergeObserved(existing ?? { ...crash, fingerprints: [], unbegun: [] }, crash);
  const others = record.crashes.filter((other) => other !== existing);
  return { ...record, crashes: [...others, added] };
}

function addAnswer(record: CrashRecord, answer: AnswerAfterCrash): CrashRecord {
  const isKnown = record.acquittals.some(({ fingerprint, targets }) => (
    fingerprint === answer.fingerprint && targets.join() === answer.targets.join()));
  return isKnown ? record : { ...record, acquittals: [...record.acquittals, answer] };
}

function addBegunParts(record: CrashRecord, begun: readonly BegunPart[]): CrashRecord {
  const times = new Map(record.begun.map(({ part, at }) => [part, at]));
  const added = begun.map(({ part, at }) => ({ part, at: Math.max(at, times.get(part) ?? at) }));
  const parts = new Set(begun.map(({ part }) => part));
  const others = record.begun.filter(({ part }) => !parts.has(part));
  return { ...record, begun: [...others, ...added] };
}

/** Adds a crash to a record and drops the oldest ones if it gets too large. */
export const withCrash = (
  record: CrashRecord | undefined,
  crash: Crash,
) => limitSize(addCrash(record ?? emptyRecord, crash));

/** Adds an answer after a crash to a record and drops the oldest ones if it gets too large. */
export const withAnswerAfterCrash = (
  record: CrashRecord | undefined,
  answer: AnswerAfterCrash,
) => limitSize(addAnswer(record ?? emptyRecord, answer));

/** Adds begun parts to a record, of each the last time that is known. */
export const withBegunParts = (
  record: CrashRecord | undefined,
  begun: readonly BegunPart[],
) => limitSize(addBegunParts(record ?? emptyRecord, begun));

/** All that two records of one entry hold, the newer one last. */
export function mergeCrashRecords(older: CrashRecord, newer: CrashRecord): CrashRecord {
  const withCrashes = newer.crashes.reduce(addCrash, older);
  const withAnswers = newer.acquittals.reduce(addAnswer, withCrashes);
  return limitSize(addBegunParts(withAnswers, newer.begun));
}
