/**
 * Shares records of crashed targets, and of the requests that ran there, among all entries. Each
 * entry writes one row of a table in the store and reads the rows of the others.
 */
import type { Logger } from 'pino';
import {
  createCrashHistory, errorFields, parseCrashRecord, withAnswerAfterCrash, withCrash,
  type AnswerAfterCrash, type CancelTimer, type Clock, type Crash, type CrashRecord,
} from '@verbenashunt/core';
import type { RowStore, StoredRow } from '../ports.js';
import { followTable } from './follow.js';

const table = 'verbenashunt-crashes';
/** Long-poll timeout of calls to the store in milliseconds; long, since crashes are rare. */
const waitMs = 5000;
/** Delay before a write in milliseconds, so that one write covers several records. */
const writeDelayMs = 50;
/** Delay before a failed write is repeated, in milliseconds; it doubles with each failure. */
const firstRetryMs = 500;
const maxRetryMs = 4000;
/** Time in milliseconds over which entries spread the writes after a restoration of the store. */
const rewriteSpreadMs = 2000;

export interface CrashTableDeps {
  clock: Clock;
  random: () => number;
  log: Logger;
  store: RowStore;
  node: string;
  /** Called once for each incarnation that another entry, or an earlier process, saw crash. */
  onCrash(incarnation: string): void;
}

export interface CrashTable {
  /** Whether no entry has recorded anything. */
  readonly isEmpty: boolean;
  /** Incarnations that crashed while they ran requests with this fingerprint. */
  targetsOf(fingerprint: string): string[];
  /** Whether requests with this fingerprint crash the targets that run them. */
  isPoison(fingerprint: string): boolean;
  recordCrash(crash: Crash): void;
  recordAnswerAfterCrash(answer: AnswerAfterCrash): void;
  close(): void;
}

export function createCrashTable(deps: CrashTableDeps): CrashTable {
  const {
    clock, log, store, node,
  } = deps;
  const history = createCrashHistory(clock);
  /** Incarnations passed to `onCrash`; a few a day, so they are never removed. */
  const seenIncarnations = new Set<string>();
  let ownRecord: CrashRecord | undefined;
  let cancelWrite: CancelTimer | undefined;
  let writeRetryMs: number = firstRetryMs;
  let isClosed = false;

  function decode({ key, value }: StoredRow): CrashRecord | undefined {
    try {
      return value && parseCrashRecord(JSON.parse(value.toString()));
    } catch (err) {
      log.warn({ key, ...errorFields(err) }, 'row not understood');
      return undefined;
    }
  }

  function onRow(row: StoredRow) {
    const isOwn = row.key === node;
    // This process's record is newer than the row that an earlier process of this node wrote.
    if (isOwn && ownRecord) return;
    const found = decode(row);
    if (isOwn) ownRecord = found;
    history.put(row.key, found);
    const unseen = (found?.crashes ?? []).filter(({ target }) => !seenIncarnations.has(target));
    if (unseen.length === 0) return;
    log.info({
      entry: row.key, version: row.version, targets: unseen.map(({ target }) => target),
    }, 'crashes read from the table');
    unseen.forEach(({ target }) => {
      seenIncarnations.add(target);
      deps.onCrash(target);
    });
  }

  async function write() {
    cancelWrite = undefined;
    const value = Buffer.from(JSON.stringify(ownRecord));
    try {
      await store.write({ expect: [], put: [{ table, key: node, value }] });
      writeRetryMs = firstRetryMs;
    } catch (err) {
      log.info(errorFields(err), 'crashes not recorded');
      // eslint-disable-next-line @typescript-eslint/no-use-before-define -- each leads to the other
      scheduleWrite(writeRetryMs);
      writeRetryMs = Math.min(maxRetryMs, 2 * writeRetryMs);
    }
  }

  function scheduleWrite(ms: number) {
    if (isClosed) return;
    cancelWrite ??= clock.after(ms, write);
  }

  function saveOwn(next: CrashRecord) {
    ownRecord = next;
    history.put(node, next);
    scheduleWrite(writeDelayMs);
  }

  const follower = followTable({
    table,
    waitMs,
    onStoreRestored() {
      if (ownRecord) scheduleWrite(rewriteSpreadMs * deps.random());
    },
    onRows: (rows) => rows.forEach(onRow),
    onChanges: (rows) => rows.forEach(onRow),
  }, deps);

  return {
    get isEmpty() {
      return history.isEmpty;
    },
    targetsOf: history.targetsOf,
    isPoison: history.isPoison,
    recordCrash: (crash) => saveOwn(withCrash(ownRecord, crash)),
    recordAnswerAfterCrash: (answer) => saveOwn(withAnswerAfterCrash(ownRecord, answer)),
    close() {
      isClosed = true;
      cancelWrite?.();
      follower.close();
    },
  };
}
