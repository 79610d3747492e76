/**
 * Records of parts of prompts that crash targets, shared by all entries. Each entry keeps one row
 * of a table, which the others read.
 */
import {
  createCrashHistory, createPartQuarantine, parseCrashRecord, withBegunParts, withCrash,
  type Clock, type CrashRecord, type PartCrash,
} from '@verbenashunt/core';
import type { PlatformClient } from '@verbenashunt/wire';

/** Table with one row for each entry that has seen a crash. */
const table = 'poison-parts';
/** Delay before a write in milliseconds, so that one write covers several records. */
const writeDelayMs = 50;
/** Delay in milliseconds before a failed write is repeated. */
const writeRetryMs = 1000;

export interface PartRecordsDeps {
  clock: Clock;
  platform: PlatformClient;
  /** VM of this entry, the key of its row. */
  entry: string;
  onQuarantined(part: string): void;
}

export interface PartRecords {
  /** The first of the parts that crashes targets; undefined if none does. */
  findCrashing(parts: readonly string[]): string | undefined;
  /** Times are on the wall clock, as those of other entries are compared with them. */
  recordCrash(crash: PartCrash): void;
  recordBegun(parts: readonly string[]): void;
  /** Parts that are refused, with the number of crashes that count against them. */
  list(): { part: string; crashes: number }[];
  /** Clears a part of all crashes so far; returns false if it is not refused. */
  release(part: string): boolean;
  /** Reads the rows of all entries; rejects with PlatformError. */
  read(): Promise<void>;
  close(): void;
}

export function createPartRecords(deps: PartRecordsDeps): PartRecords {
  const { clock, platform, entry } = deps;
  const history = createCrashHistory(clock);
  const quarantine = createPartQuarantine({
    clock,
    history,
    storeTime: clock.wall.bind(clock),
    onQuarantined: ({ part }) => deps.onQuarantined(part),
    onReleased() {},
  });
  let ownRecord: CrashRecord | undefined;
  let isWriteDue = false;
  let isClosed = false;

  async function write() {
    isWriteDue = false;
    try {
      const row = await platform.get(table, entry);
      await platform.transact({
        conditions: [{ table, key: entry, version: row?.version ?? 0 }],
        puts: [{ table, key: entry, value: JSON.stringify(ownRecord) }],
      });
    } catch {
      // The record stays in force here; another try follows, also after a conflict.
      // eslint-disable-next-line @typescript-eslint/no-use-before-define -- each leads to the other
      writeIn(writeRetryMs);
    }
  }

  function writeIn(ms: number) {
    if (isWriteDue || isClosed) return;
    isWriteDue = true;
    clock.after(ms, write);
  }

  function saveOwn(record: CrashRecord) {
    ownRecord = record;
    history.put(entry, record);
    quarantine.historyChanged();
    writeIn(writeDelayMs);
  }

  function shareBegun() {
    const begun = quarantine.unsharedBegun();
    if (begun.length > 0) saveOwn(withBegunParts(ownRecord, begun));
  }

  return {
    findCrashing: quarantine.findCrashing,
    recordCrash(crash) {
      saveOwn(withCrash(ownRecord, { ...crash, fingerprints: [] }));
      shareBegun();
    },
    recordBegun(parts) {
      quarantine.recordBegun(parts);
      if (!history.isEmpty) shareBegun();
    },
    list: () => quarantine.list().map(({ part, evidence }) => ({ part, crashes: evidence.length })),
    release(part) {
      if (quarantine.findCrashing([part]) === undefined) return false;
      saveOwn(withBegunParts(ownRecord, [{ part, at: clock.wall() }]));
      return true;
    },
    async read() {
      const rows = await platform.scan(table, '');
      rows.filter(({ key }) => key !== entry || !ownRecord).forEach(({ key, value }) => {
        const record = parseCrashRecord(JSON.parse(value));
        if (key === entry) ownRecord = record;
        history.put(key, record);
      });
      quarantine.historyChanged();
      shareBegun();
    },
    close() {
      isClosed = true;
    },
  };
}
