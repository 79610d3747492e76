/**
 * Shares records of crashed targets, and of the requests that ran there, among all entries. Each
 * entry writes one row of a table in the store and reads the rows of the others. While the store
 * does not take rows, entries send them to each other.
 */
import type { Logger } from 'pino';
import {
  createCrashHistory, createPartQuarantine, errorFields, parseCrashRecord, withAnswerAfterCrash,
  withBegunParts, withCrash,
  type AnswerAfterCrash, type Clock, type Crash, type CrashRecord,
  type UnbegunRequest,
} from '@verbenashunt/core';
import type { RowStore, StoredRow } from '../ports.js';
import type { Announcements } from '../relay/announcements.js';
import type { TurnMeter } from '../turns/turn-meter.js';
import { followTable } from './follow.js';
import { createOwnRow } from './own-row.js';

const table = 'verbenashunt-crashes';
/** Delay before a write in milliseconds, so that one write covers several records. */
const writeDelayMs = 50;
/**
 * Time in milliseconds for each entry over which the entries spread writes that add no suspect, as
 * many may write about the same crash, or clear the same part.
 */
const spreadPerEntryMs = 5;
/** Time in milliseconds over which entries spread the writes after a restoration of the store. */
const rewriteSpreadMs = 2000;

export interface CrashTableDeps {
  clock: Clock;
  random: () => number;
  log: Logger;
  store: RowStore;
  meter?: TurnMeter;
  announcements: Pick<Announcements, 'send' | 'onRow'>;
  node: string;
  /** Number of entries, this one included. */
  entryCount(): number;
  /** Converts a time on the entry's clock to the store's; undefined while that is unknown. */
  storeTimeOf(time: number): number | undefined;
  /** Called once for each incarnation that another entry, or an earlier process, saw crash. */
  onCrash(incarnation: string): void;
}

/** A request without a begun answer on a target that crashed. */
export interface LostUnbegun {
  /** Ids of the parts of its prompt that other requests may share. */
  parts: readonly string[];
  /** When it was sent, on the entry's clock. */
  sentAt: number;
}

/** A crash as this entry has seen it. */
export interface SeenCrash extends Pick<Crash, 'target' | 'fingerprints'> {
  /** When it was noticed, on the entry's clock. */
  at: number;
  unbegun: readonly LostUnbegun[];
}

export interface CrashTable {
  /** Whether no entry has recorded anything. */
  readonly isEmpty: boolean;
  /** Whether the records of the other entries have been read. */
  readonly isRead: boolean;
  /** Number of parts of prompts that are refused. */
  readonly crashingParts: number;
  /** Incarnations that crashed while they ran requests with this fingerprint. */
  targetsOf(fingerprint: string): string[];
  /** Whether requests with this fingerprint crash the targets that run them. */
  isPoison(fingerprint: string): boolean;
  /** The first of the parts of a prompt that crashes targets; undefined if none does. */
  findCrashingPart(parts: readonly string[]): string | undefined;
  recordCrash(crash: SeenCrash): void;
  /** Records that an answer has begun on a prompt with these parts. */
  recordBegun(parts: readonly string[]): void;
  recordAnswerAfterCrash(answer: AnswerAfterCrash): void;
  close(): void;
}

export function createCrashTable(deps: CrashTableDeps): CrashTable {
  const {
    clock, log, node, announcements,
  } = deps;
  const history = createCrashHistory(clock);
  /** Incarnations passed to `onCrash`; a few a day, so they are never removed. */
  const seenIncarnations = new Set<string>();
  let ownRecord: CrashRecord | undefined;
  let isRead = false;
  const ownRow = createOwnRow({
    ...deps,
    table,
    encode: () => Buffer.from(JSON.stringify(ownRecord)),
  });

  const quarantine = createPartQuarantine({
    clock,
    history,
    storeTime: () => deps.storeTimeOf(clock.now()),
    onQuarantined({ part, evidence }) {
      log.warn({
        part, crashes: evidence.map(({ target }) => target),
      }, 'part of prompts crashes targets, requests with it are refused');
    },
    onReleased(part) {
      log.info({ part }, 'part of prompts is no longer refused');
    },
  });

  function decode({ key, value }: Pick<StoredRow, 'key' | 'value'>): CrashRecord | undefined {
    try {
      return value && parseCrashRecord(JSON.parse(value.toString()));
    } catch (err) {
      log.warn({ key, ...errorFields(err) }, 'row not understood');
      return undefined;
    }
  }

  function saveOwn(next: CrashRecord, delayMs: number) {
    ownRecord = next;
    history.put(node, next);
    quarantine.historyChanged();
    ownRow.writeIn(delayMs);
  }

  const spreadDelayMs = () => writeDelayMs + spreadPerEntryMs * deps.entryCount() * deps.random();

  /** Tells the other entries of answers that have begun here on parts that they may soon refuse. */
  function shareBegun() {
    const begun = quarantine.unsharedBegun();
    if (begun.length > 0) saveOwn(withBegunParts(ownRecord, begun), spreadDelayMs());
  }

  function onRow(row: Pick<StoredRow, 'key' | 'value'>) {
    const isOwn = row.key === node;
    if (isOwn && ownRecord) {
      ownRow.onRead(row.value);
      return;
    }
    const found = decode(row);
    if (isOwn) ownRecord = found;
    history.put(row.key, found);
    quarantine.historyChanged();
    const unseen = (found?.crashes ?? []).filter(({ target }) => !seenIncarnations.has(target));
    if (unseen.length === 0) return;
    log.info({
      entry: row.key, targets: unseen.map(({ target }) => target),
    }, 'crashes seen by another entry');
    unseen.forEach(({ target }) => {
      seenIncarnations.add(target);
      deps.onCrash(target);
    });
  }

  function onRows(rows: readonly Pick<StoredRow, 'key' | 'value'>[]) {
    rows.forEach(onRow);
    shareBegun();
  }

  const follower = followTable({
    table,
    onStoreRecovered: ownRow.storeRecovered,
    onStoreRestored() {
      if (ownRecord) ownRow.writeIn(rewriteSpreadMs * deps.random());
    },
    onRows(rows) {
      isRead = true;
      onRows(rows);
    },
    onChanges: onRows,
  }, deps);

  announcements.onRow(table, (row) => onRows([row]));

  /** Empty for a request without shared parts, and while the store's clock is unknown. */
  function toStored({ sentAt, parts }: LostUnbegun): UnbegunRequest[] {
    const storedAt = deps.storeTimeOf(sentAt);
    if (storedAt === undefined || parts.length === 0) return [];
    return [{ parts, sentAt: Math.round(storedAt) }];
  }

  return {
    get isEmpty() {
      return history.isEmpty;
    },
    targetsOf: history.targetsOf,
    get isRead() {
      return isRead;
    },
    get crashingParts() {
      return quarantine.list().length;
    },
    isPoison: history.isPoison,
    findCrashingPart: quarantine.findCrashing,
    recordCrash({
      target, fingerprints, at, unbegun,
    }) {
      saveOwn(withCrash(ownRecord, {
        target,
        fingerprints,
        at: Math.round(deps.storeTimeOf(at) ?? 0),
        unbegun: unbegun.flatMap(toStored),
      }), unbegun.length > 0 ? writeDelayMs : spreadDelayMs());
      shareBegun();
    },
    recordBegun(parts) {
      quarantine.recordBegun(parts);
      if (!history.isEmpty) shareBegun();
    },
    recordAnswerAfterCrash: (answer) => saveOwn(
      withAnswerAfterCrash(ownRecord, answer),
      writeDelayMs,
    ),
    close() {
      ownRow.close();
      follower.close();
    },
  };
}
