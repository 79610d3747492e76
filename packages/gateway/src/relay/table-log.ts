/**
 * Recent changes of one table, as this entry's own calls to the store returned them, for entries
 * that follow the table through this one. A log answers only while its calls succeed, so that an
 * entry that has lost the store passes on nothing as the newest state.
 */
import type { CancelTimer, Clock } from '@verbenashunt/core';
import type { StoredRow, TableState } from '../ports.js';
import { newestRows } from '../store/newest-rows.js';

export interface TableLog {
  /**
   * Records a read of all rows, which may come from a replica that lags behind; the changes after
   * it tell whether it is up to date.
   */
  recordRead(state: TableState): void;
  /** Records the changes after a version. */
  recordChanges(after: number, state: TableState): void;
  /** Records that a call to the store failed. */
  recordFailure(): void;
  /**
   * Resolves to the changes after a version as soon as there are any, or after `waitMs`; to
   * undefined when the log can't tell, because it starts later, is of another era or out of date.
   */
  changes(after: number, era: number, waitMs: number): Promise<TableState | undefined>;
}

/** Batches of changes that are kept; a follower that is further behind asks the store. */
const maxBatches = 100;

interface Batch {
  /** Version of the store up to which the changes are complete. */
  version: number;
  rows: readonly StoredRow[];
}

/** A follower that waits for changes. */
interface Waiter {
  /** Checks whether its answer is ready. */
  check(): void;
}

export interface TableLogOptions {
  /** Time in milliseconds after the store's last answer for which the log is up to date. */
  maxAgeMs: number;
  /** Whether only the newest change of each row is kept. */
  isNewestOnly?: boolean;
}

export function createTableLog(
  clock: Clock,
  { maxAgeMs, isNewestOnly = false }: TableLogOptions,
): TableLog {
  const waiters = new Set<Waiter>();
  let batches: Batch[] = [];
  /** The log has all changes after this version; undefined before the first read. */
  let start: number | undefined;
  let newest: Omit<TableState, 'rows'> = { version: 0, era: 0, now: 0 };
  let answeredAt = -Infinity;

  const isUpToDate = () => start !== undefined && clock.now() - answeredAt <= maxAgeMs;
  const wakeAll = () => [...waiters].forEach((waiter) => waiter.check());

  /** Forgets all batches; the log starts after `version`, and is not up to date yet. */
  function restart(version: number, { era, now }: TableState) {
    start = version;
    answeredAt = -Infinity;
    batches = [];
    newest = { version, era, now };
  }

  function keepNewest() {
    const newestSet = new Set(newestRows(batches.flatMap(({ rows }) => rows)));
    batches = batches.map(({ version, rows }) => ({
      version, rows: rows.filter((row) => newestSet.has(row)),
    }));
  }

  function append(state: TableState) {
    batches.push({ version: state.version, rows: state.rows });
    const dropped = batches.length > maxBatches ? batches.shift() : undefined;
    start = dropped?.version ?? start;
    if (isNewestOnly) keepNewest();
  }

  function recordAnswer() {
    answeredAt = clock.now();
    wakeAll();
  }

  const rowsAfter = (after: number) => batches.filter(({ version }) => version > after)
    .flatMap(({ rows }) => rows);

  const canTell = (after: number, era: number) => isUpToDate() && era === newest.era
    && after >= start!;

  return {
    recordRead(state) {
      const isContinued = start !== undefined && state.era === newest.era
        && state.version <= newest.version;
      // What changed between the log's newest version and this read is not known.
      if (!isContinued) restart(state.version, state);
    },
    recordChanges(after, state) {
      const isContinued = start !== undefined && state.era === newest.era
        && after <= newest.version;
      if (!isContinued) restart(after, state);
      if (state.version > newest.version && state.rows.length > 0) append(state);
      if (state.version >= newest.version) {
        newest = { version: state.version, era: state.era, now: state.now };
      }
      recordAnswer();
    },
    recordFailure() {
      answeredAt = -Infinity;
      wakeAll();
    },
    changes: (after, era, waitMs) => new Promise((resolve) => {
      const waitUntil = clock.now() + waitMs;
      let cancel: CancelTimer = () => {};
      const waiter: Waiter = {
        check() {
          cancel();
          const rows = canTell(after, era) ? rowsAfter(after) : undefined;
          const isOver = rows === undefined || rows.length > 0 || clock.now() >= waitUntil;
          if (!isOver) {
            // One millisecond later, since the log is still up to date at its maximum age.
            const outOfDateAt = answeredAt + maxAgeMs + 1;
            cancel = clock.after(Math.min(waitUntil, outOfDateAt) - clock.now(), waiter.check);
            return;
          }
          waiters.delete(waiter);
          resolve(rows && { ...newest, version: Math.max(after, newest.version), rows });
        },
      };
      waiters.add(waiter);
      waiter.check();
    }),
  };
}
