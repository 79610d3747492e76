/**
 * Follows a table of the store: reads all rows, then long-polls for changes. Recovers from lost
 * history, outages, connections that went silent and a store that was restored from an older copy.
 */
import type { Logger } from 'pino';
import { errorFields, HistoryLostError, type Clock } from '@verbenashunt/core';
import type { RowStore, StoredRow, TableState } from '../ports.js';
import type { TurnMeter } from '../turns/turn-meter.js';
import { newestRows } from './newest-rows.js';

/** Default long-poll timeout in milliseconds; bounds how long a silent connection is unnoticed. */
const defaultWaitMs = 1500;
/** Pause after changes in milliseconds, so that one call fetches several changes. */
const minBatchMs = 120;
/** Longest pause in milliseconds; the pause doubles while each call finds changes at once. */
const maxBatchMs = 480;
/** Time in milliseconds within which the store answers a call that does not wait for changes. */
const immediateMs = 30;
/** Delays after consecutive failures in milliseconds; the last one repeats. */
const backoffMs = [100, 250, 500, 700] as const;
/** Changed rows applied in one turn of the event loop; requests are handled before further ones. */
const rowsPerTurn = 8;

export interface FollowerDeps {
  clock: Clock;
  random: () => number;
  log: Logger;
  store: RowStore;
  meter?: TurnMeter;
}

/** When and by which way rows reached this entry; times are on its clock. */
export interface RowsOrigin extends Pick<TableState, 'via' | 'asOf'> {
  /** When the call that brought them was made. */
  askedAt: number;
  receivedAt: number;
}

export interface FollowedTable {
  table: string;
  /** Long-poll timeout in milliseconds. */
  waitMs?: number;
  /** Whether earlier changes of a row that came with its newest one are left out. */
  isNewestOnly?: boolean;
  /** Called when the store answers again after failures, `awayMs` after its last answer. */
  onStoreRecovered?(awayMs: number): void;
  /** Called before `onRows` when the store was restored from an older copy. */
  onStoreRestored?(): void;
  /** Called with all rows at the start and whenever changes may have been missed. */
  onRows(rows: readonly StoredRow[], origin: RowsOrigin): void;
  /** Called with each changed row; if it throws, all rows are read again. */
  onChanges(rows: readonly StoredRow[], origin: RowsOrigin): void;
}

export interface Follower {
  /** Whether all rows have been read and the last call succeeded. */
  readonly isConnected: boolean;
  /**
   * Whether the changes since the first read have been asked for once. A read may come from a
   * replica that lags behind; the changes after it bring it up to date.
   */
  readonly isConfirmed: boolean;
  close(): void;
}

export function followTable(followed: FollowedTable, deps: FollowerDeps): Follower {
  const {
    clock, random, log, store,
  } = deps;
  const { table, waitMs = defaultWaitMs } = followed;
  let version: number | undefined;
  /** Newest version of the current era. */
  let newestVersion = 0;
  /** Undefined until the first answer. */
  let era: number | undefined;
  let failures = 0;
  let batchMs: number = minBatchMs;
  /** When the store last answered. */
  let answeredAt = clock.now();
  let isConfirmed = false;
  let isClosed = false;

  const wait = (ms: number) => new Promise<void>((resolve) => {
    clock.after(ms, resolve);
  });

  const measure = (work: () => void) => (
    deps.meter ? deps.meter.run(`rows of ${table}`, work) : work());

  /** Returns whether the work threw nothing; logs what it throws. */
  function tryToApply(fields: object, work: () => void): boolean {
    try {
      measure(work);
      return true;
    } catch (err) {
      log.error({ table, ...fields, ...errorFields(err) }, 'rows not applied');
      return false;
    }
  }

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

  /** Starts a new era, whose versions are lower than those of the last one. */
  function recordEra(state: TableState) {
    const isRestored = era !== undefined;
    era = state.era;
    newestVersion = 0;
    if (!isRestored) return;
    log.warn({ table, era, version: state.version }, 'store was restored from an older copy');
    followed.onStoreRestored?.();
  }

  const originOf = ({ via, asOf }: TableState, askedAt: number): RowsOrigin => ({
    via, asOf, askedAt, receivedAt: clock.now(),
  });

  async function readAll() {
    const askedAt = clock.now();
    const state = await store.read(table);
    // A replica that lags behind would bring older rows back.
    if (state.era < (era ?? 0)) throw new HistoryLostError(`${table} was read in era ${state.era}, older than ${era}`);
    if (state.era !== era) recordEra(state);
    if (state.version < newestVersion) throw new HistoryLostError(`${table} was read at version ${state.version}, older than ${newestVersion}`);
    recordAnswer(state);
    const origin = originOf(state, askedAt);
    // Reading again would fail alike, so later changes are followed in any case.
    tryToApply({ rows: state.rows.length }, () => followed.onRows(state.rows, origin));
  }

  /** Applies changes in order, a few in each turn of the event loop. */
  async function applyChanges(rows: readonly StoredRow[], origin: RowsOrigin): Promise<void> {
    const rest = rows.slice(rowsPerTurn);
    rows.slice(0, rowsPerTurn).forEach((row) => {
      const isApplied = tryToApply({ key: row.key }, () => followed.onChanges([row], origin));
      if (!isApplied) version = undefined;
    });
    if (rest.length === 0) return;
    await new Promise(setImmediate);
    if (!isClosed) await applyChanges(rest, origin);
  }

  async function readChanges(after: number) {
    const askedAt = clock.now();
    // After a failure the store answers at once, or shows soon that it is still silent.
    const mayWait = isConfirmed && failures === 0;
    const state = await store.changes(table, after, mayWait ? waitMs : 0);
    // The version to continue from belongs to another era, so changes may be missing.
    if (state.era !== era) throw new HistoryLostError(`${table} was followed from era ${era} to ${state.era}`);
    recordAnswer(state);
    isConfirmed = true;
    if (state.rows.length === 0) return;
    const isImmediate = clock.now() - askedAt < immediateMs;
    batchMs = isImmediate ? Math.min(maxBatchMs, 2 * batchMs) : minBatchMs;
    const rows = followed.isNewestOnly ? newestRows(state.rows) : state.rows;
    await applyChanges(rows, originOf(state, askedAt));
    await wait(batchMs);
  }

  function recordFailure(err: unknown) {
    if (isClosed) return;
    if (failures === 0) log.warn({ table, ...errorFields(err) }, 'table not followed');
    failures += 1;
    if (!(err instanceof HistoryLostError)) return;
    // The store did answer, so this is no outage.
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
    // A loop, since recursion would build an ever-growing chain of promises.
    while (!isClosed) {
      // eslint-disable-next-line no-await-in-loop -- each call waits for the previous one
      await step();
    }
  }
  run();

  return {
    get isConnected() {
      return failures === 0 && version !== undefined;
    },
    get isConfirmed() {
      return isConfirmed;
    },
    close() {
      isClosed = true;
    },
  };
}
