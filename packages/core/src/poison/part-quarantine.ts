/**
 * Refuses requests whose prompts hold a part that crashes targets, on the evidence of all entries.
 * Each entry decides by itself; it shares a begun answer only where others may lack it to clear a
 * part.
 */
import QuickLRU from 'quick-lru';
import type { Clock } from '../clock/clock.js';
import type { CrashHistory } from './crash-history.js';
import type { BegunPart } from './crash-record.js';
import {
  countSequential, crashingPartThreshold, evidenceSince, findCrashingParts, findSuspectParts,
  type SuspectPart,
} from './crashing-parts.js';

export interface PartQuarantineDeps {
  clock: Clock;
  /** Milliseconds on the store's clock; undefined before its first answer. */
  storeTime(): number | undefined;
  history: Pick<CrashHistory, 'partCrashes' | 'begunAt'>;
  /** Called when a part is first found to crash targets. */
  onQuarantined(part: SuspectPart): void;
  /** Called when a part is no longer refused. */
  onReleased(part: string): void;
}

export interface PartQuarantine {
  /** Records that an answer has begun on a prompt with these parts. */
  recordBegun(parts: readonly string[]): void;
  /** To be called when the history has changed. */
  historyChanged(): void;
  /** The first of the parts that crashes targets; undefined if none does. */
  findCrashing(parts: readonly string[]): string | undefined;
  /** Parts on which answers have begun here, of which other entries should learn. */
  unsharedBegun(): BegunPart[];
  /** Parts that are refused. */
  list(): SuspectPart[];
}

/** Parts whose last begun answer is remembered; the least recently begun ones are evicted. */
const maxBegunParts = 8192;
/** Time in milliseconds for which a crash is evidence against the parts that it met. */
const evidenceTtlMs = 600_000;
/** Longest time in milliseconds for which a result is used, as evidence expires. */
const maxResultAgeMs = 1000;

export function createPartQuarantine(deps: PartQuarantineDeps): PartQuarantine {
  const { clock, history, storeTime } = deps;
  /** When an answer last began here, on the store's clock, by part. */
  const begunHere = new QuickLRU<string, number>({ maxSize: maxBegunParts });
  let suspects: SuspectPart[] = [];
  let crashing: ReadonlyMap<string, SuspectPart> = new Map();
  let isOutdated = false;
  let computedAt = -Infinity;

  const begunAt = (part: string) => Math.max(
    begunHere.get(part) ?? -Infinity,
    history.begunAt(part),
  );

  function compute() {
    const since = (storeTime() ?? 0) - evidenceTtlMs;
    suspects = findSuspectParts(history.partCrashes().filter(({ at }) => at >= since));
    const found = new Map(findCrashingParts(suspects, begunAt).map((part) => [part.part, part]));
    const before = crashing;
    crashing = found;
    isOutdated = false;
    computedAt = clock.now();
    found.forEach((suspect, part) => {
      if (!before.has(part)) deps.onQuarantined(suspect);
    });
    [...before.keys()].filter((part) => !found.has(part)).forEach(deps.onReleased);
  }

  function refresh() {
    const isExpired = suspects.length > 0 && clock.now() - computedAt > maxResultAgeMs;
    if (isOutdated || isExpired) compute();
  }

  /** Whether other entries may soon refuse a part that has begun here. */
  function isUnshared(suspect: SuspectPart): boolean {
    const sharedAt = history.begunAt(suspect.part);
    const here = begunHere.get(suspect.part) ?? -Infinity;
    const evidence = evidenceSince(suspect, sharedAt);
    return countSequential(evidence) >= crashingPartThreshold - 1
      && evidence.some(({ sentAt }) => sentAt <= here);
  }

  return {
    recordBegun(parts) {
      const now = storeTime();
      if (now === undefined) return;
      parts.forEach((part) => begunHere.set(part, now));
      if (suspects.some(({ part }) => parts.includes(part))) isOutdated = true;
    },
    historyChanged() {
      isOutdated = true;
    },
    findCrashing(parts) {
      refresh();
      return crashing.size === 0 ? undefined : parts.find((part) => crashing.has(part));
    },
    unsharedBegun() {
      refresh();
      return suspects.filter(isUnshared)
        .map(({ part }) => ({ part, at: begunHere.get(part)! }));
    },
    list() {
      refresh();
      return [...crashing.values()];
    },
  };
}
