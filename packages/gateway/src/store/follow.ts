/**
 * Follows a table of the store: its rows first, then each change, through lost history, outages and
 * connections that went silent.
 */
import type { Logger } from 'pino';
import { errorFields, HistoryLostError, type Clock } from '@verbenashunt/core';
import type { RowStore, StoredRow, TableState } from '../ports.js';

/**
 * Time for which the store holds a call open where the table names none; a silent connection is
 * noticed soon after.
 */
const defaultWaitMs = 1500;
/** Pause after changes, so that those that come together cost one call, in milliseconds. */
const changeBatchMs = 120;
/** Pauses after failures in a row, in milliseconds; the last one holds on. */
const backoffMs = [100, 250, 500, 700] as const;

export interface FollowerDeps {
  clock: Clock;
  random: () => number;
  log: Logger;
  store: RowStore;
}

export interface FollowedTable {
  table: string;
  /** Time for which the store holds a call open in milliseconds. */
  waitMs?: number;
  /** The store answers again, after this many milliseconds without an answer. */
  onStoreRecovered?(awayMs: number): void;
  /** All rows, at the start and whenever changes may have been missed. */
  onRows(rows: readonly StoredRow[]): void;
  onChanges(rows: readonly StoredRow[]): void;
}

export interface Follower {
  /** The last call was answered. */
  readonly isConnected: boolean;
  close(): void;
}

export function followTable(followed: FollowedTable, deps: FollowerDeps): Follower {
  const {
    clock, random, log, store,
  } = deps;
  const { table, waitMs = defaultWaitMs } = followed;
  let version: number | undefined;
  let newestVersion = 0;
  let failures = 0;
  /** When the store last answered. */
  let answeredAt = clock.now();
  let isClosed = false;

  const wait = (ms: number) => new Promise<void>((resolve) => {
    clock.after(ms, resolve);
  });

  function recordAnswer(state: TableState) {
    const awayMs = clock.now() - answeredAt;
    if (failures > 0) {
      log.info({ table, failures, awayMs: Math.round(awayMs) }, 'table followed again');
      followed.onStoreRecovered?.(awayMs);
    }
    failures = 0;
    answeredAt = clock.now();
    version = state.version;
    newestVersion = Math.max(newestVersion, state.version);
  }

  async function readAll() {
    const state = await store.read(table);
    // A replica behind what was seen would take rows back.
    if (state.version < newestVersion) throw new HistoryLostError(`${table} was read at ${state.version}, before ${newestVersion}`);
    recordAnswer(state);
    followed.onRows(state.rows);
  }

  async function readChanges(after: number) {
    const state = await store.changes(table, after, waitMs);
    recordAnswer(state);
    if (state.rows.length === 0) return;
    followed.onChanges(state.rows);
    await wait(changeBatchMs);
  }

  function recordFailure(err: unknown) {
    if (isClosed) return;
    if (failures === 0) log.warn({ table, ...errorFields(err) }, 'table not followed');
    failures += 1;
    if (!(err instanceof HistoryLostError)) return;
    // It is an answer all the same.
    answeredAt = clock.now();
    version = undefined;
  }

  const backOff = () => wait(
    (backoffMs[Math.min(failures, backoffMs.length) - 1] ?? 0) * (0.75 + random() / 2),
  );

  async function step() {
    try {
      await (version === undefined ? readAll() : readChanges(version));
    } catch (err) {
      recordFailure(err);
      await backOff();
    }
  }

  async function run(): Promise<void> {
    // A loop, since the chain of promises of a recursion would grow for ever.
    while (!isClosed) {
      // eslint-disable-next-line no-await-in-loop -- each call waits for the one before
      await step();
    }
  }
  run();

  return {
    get isConnected() {
      return failures === 0 && version !== undefined;
    },
    close() {
      isClosed = true;
    },
  };
}
