/**
 * Detects poison requests: requests that crash the targets that run them. Each entry records the
 * crashes of targets with the requests that ran there, and the requests that a target answered
 * afterwards. Every entry combines the records of all.
 */
import type { Clock } from '../clock/clock.js';
import { groupBy } from '../serving/group-by.js';
import { mergeCrashRecords, type CrashRecord } from './crash-record.js';
import { mergeCrashes, type PartCrash } from './crashing-parts.js';

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
        const isCurrent = known !== undefined && known.until > clock.now();
        records.set(entry, {
          record: isCurrent ? mergeCrashRecords(known.record, record) : record,
          until: clock.now() + recordTtlMs,
        });
      } else records.delete(entry);
      begunTimes = undefined;
    },
    targetsOf,
    partCrashes() {
      const crashes: PartCrash[] = currentRecords().flatMap((record) => record.crashes);
      return [...groupBy(crashes, ({ target }) => target).values()]
        .map(([first, ...others]) => mergeCrashes(first!, ...others));
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
