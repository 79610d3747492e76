/** Shares crashes that requests caused with all entries: one row of the store for each entry. */
import type { Logger } from 'pino';
import {
  createCrashHistory, errorFields, parseCrashRecord, withAcquittal, withCrash,
  type Acquittal, type CancelTimer, type Clock, type Crash, type CrashRecord,
} from '@verbenashunt/core';
import type { RowStore, StoredRow } from '../ports.js';
import { followTable } from './follow.js';

const table = 'verbenashunt-crashes';
/** Time for which the store holds a call open in milliseconds; crashes are rare. */
const waitMs = 5000;
/** Time in which what is to be recorded together comes together, in milliseconds. */
const writeDelayMs = 50;
/** Wait after a failed write in milliseconds. */
const retryMs = 500;

export interface CrashTableDeps {
  clock: Clock;
  random: () => number;
  log: Logger;
  store: RowStore;
  node: string;
  /** Another entry saw a life of a target end. */
  onCrash(target: string): void;
}

export interface CrashTable {
  /** Nothing is recorded by any entry. */
  readonly isEmpty: boolean;
  targetsOf(fingerprint: string): string[];
  isPoison(fingerprint: string): boolean;
  recordCrash(crash: Crash): void;
  recordAcquittal(acquittal: Acquittal): void;
  close(): void;
}

export function createCrashTable(deps: CrashTableDeps): CrashTable {
  const {
    clock, log, store, node,
  } = deps;
  const history = createCrashHistory(clock);
  /** Lives of targets that are known to have ended, a few a day. */
  const seenIncarnations = new Set<string>();
  let ownRecord: CrashRecord | undefined;
  let cancelWrite: CancelTimer | undefined;
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
    // What this process has seen is newer than what an earlier one left under its name.
    if (isOwn && ownRecord) return;
    const found = decode(row);
    if (isOwn) ownRecord = found;
    history.put(row.key, found);
    found?.crashes.filter(({ target }) => !seenIncarnations.has(target)).forEach(({ target }) => {
      seenIncarnations.add(target);
      deps.onCrash(target);
    });
  }

  async function write() {
    cancelWrite = undefined;
    const value = Buffer.from(JSON.stringify(ownRecord));
    try {
      await store.write({ expect: [], put: [{ table, key: node, value }] });
    } catch (err) {
      log.info(errorFields(err), 'crashes not recorded');
      // eslint-disable-next-line @typescript-eslint/no-use-before-define -- each leads to the other
      scheduleWrite(retryMs);
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
    table, waitMs, onRows: (rows) => rows.forEach(onRow), onChanges: (rows) => rows.forEach(onRow),
  }, deps);

  return {
    get isEmpty() {
      return history.isEmpty;
    },
    targetsOf: history.targetsOf,
    isPoison: history.isPoison,
    recordCrash: (crash) => saveOwn(withCrash(ownRecord, crash)),
    recordAcquittal: (acquittal) => saveOwn(withAcquittal(ownRecord, acquittal)),
    close() {
      isClosed = true;
      cancelWrite?.();
      follower.close();
    },
  };
}
