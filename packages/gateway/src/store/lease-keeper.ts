/**
 * Keeps the lease on giving orders, and counts the entries that share limits. One small table holds
 * the lease and one row for each entry.
 */
import type { Logger } from 'pino';
import {
  ConflictError, errorFields, leaseRenewMs, leaseTtlMs, nextLease, parseLease, type Clock,
  type LeaseRecord,
} from '@verbenashunt/core';
import type { RowStore, StoredRow } from '../ports.js';
import {
  expectedBackAt, decodeEntries, entryKey, nextEntryMs, type EntryRecord,
} from './entry-rows.js';

const table = 'verbenashunt';
const leaseKey = 'lease';
/** Wait after a failed call to the store. */
const retryMs = 500;
/** Time between reads of an entry that does not hold the lease, at the most. */
const maxReadMs = 4000;
/** Time between reads of an entry that stops, which tells callers when to come back. */
const stoppingReadMs = 1000;
/** Time past the end of another's lease at which it is read again. */
const expiryMarginMs = 100;

export interface LeaseKeeperDeps {
  clock: Clock;
  random: () => number;
  log: Logger;
  store: RowStore;
  node: string;
}

/** Right to give orders to engines. */
export interface OrderPermit {
  /** Fencing token for the orders. */
  token: number;
  /**
   * The store has been out of reach for longer than a lease lasts, so that nobody can be known to
   * hold it. Then any entry may add to the placement, under the last token that it knows: a target
   * refuses what comes after another's order or under a lower token.
   */
  isOrphaned: boolean;
}

export interface LeaseKeeper {
  /** Undefined while this entry may give no orders. */
  orderPermit(): OrderPermit | undefined;
  /** Entries that are known, this one included. */
  entryCount(): number;
  /** A target refused an order, since another entry has given one with a higher token. */
  onFenced(token: number): void;
  /**
   * Milliseconds until an entry serves that this one may send callers to: 0 while another does,
   * else until the first that stops is back.
   */
  nextEntryMs(): number;
  /**
   * The process ends after this time in milliseconds at the most. It takes no lease from now on;
   * one that is held is kept.
   */
  announceStop(graceMs: number): void;
  /** Lets another entry take over at once; resolves when that is written or can't be. */
  release(): Promise<void>;
  close(): void;
}

const encode = (value: unknown) => Buffer.from(JSON.stringify(value));

function decodeLease(row: StoredRow | undefined): LeaseRecord | undefined {
  return row?.value && parseLease(JSON.parse(row.value.toString()));
}

export function createLeaseKeeper(deps: LeaseKeeperDeps): LeaseKeeper {
  const {
    clock, random, log, store, node,
  } = deps;
  let held: LeaseRecord | undefined;
  let version = 0;
  /** The store's clock less this process's. */
  let clockOffset = 0;
  let entries: readonly EntryRecord[] = [];
  let isRegistered = false;
  /** When this entry is back, on the store's clock; undefined unless it stops. */
  let backAt: number | undefined;
  let highestFenced = 0;
  /** Newest token read or written. */
  let newestToken = 0;
  let answeredAt = clock.now();
  /** The last call to the store failed. */
  let isFailing = false;
  let isStopping = false;
  let isClosed = false;
  /** A step is under way; `isDue`: another is to follow at once. */
  let isRunning = false;
  let shouldRunAgain = false;
  let cancel = () => {};

  function dropLease(reason: string) {
    if (held) log.warn({ token: held.token, reason }, 'lease lost');
    held = undefined;
  }

  function recordAnswer(token: number) {
    answeredAt = clock.now();
    isFailing = false;
    newestToken = Math.max(newestToken, token);
  }

  async function register() {
    if (isRegistered) return;
    const value = encode({ node, backAt });
    await store.write({ expect: [], put: [{ table, key: entryKey(node), value }] });
    isRegistered = true;
  }

  /** Writes the lease; resolves to the time until the next call. */
  async function writeLease(record: LeaseRecord): Promise<number> {
    const written = await store.write({
      expect: [{ table, key: leaseKey, version }],
      put: [{ table, key: leaseKey, value: encode(record) }],
    });
    if (held?.token !== record.token) log.info({ token: record.token }, 'lease taken');
    held = record;
    recordAnswer(record.token);
    version = written.version;
    clockOffset = written.now - clock.now();
    return leaseRenewMs;
  }

  async function readTable(): Promise<number> {
    const state = await store.read(table);
    clockOffset = state.now - clock.now();
    const row = state.rows.find(({ key }) => key === leaseKey);
    entries = decodeEntries(state.rows, (key, err) => {
      log.warn({ key, ...errorFields(err) }, 'row not understood');
    });
    version = row?.version ?? 0;
    const current = decodeLease(row);
    recordAnswer(current?.token ?? 0);
    if (held && current?.token !== held.token) dropLease('another entry holds it');
    const next = nextLease(current, node, state.now, held?.token);
    if (next && (held || !isStopping)) return writeLease(next);
    if (isStopping) return stoppingReadMs;
    if (!current) return maxReadMs;
    const expiresInMs = Math.max(0, current.until - state.now);
    return Math.min(maxReadMs, expiresInMs + expiryMarginMs + random() * retryMs);
  }

  async function renewOrAcquire(): Promise<number> {
    await register();
    if (!held || isStopping) return readTable();
    try {
      return await writeLease(nextLease(held, node, clock.now() + clockOffset, held.token)!);
    } catch (err) {
      // The answer to a renewal may have been lost; what stands in the row decides.
      if (err instanceof ConflictError) return readTable();
      throw err;
    }
  }

  async function run() {
    if (isClosed) return;
    isRunning = true;
    let waitMs = retryMs;
    try {
      waitMs = await renewOrAcquire();
    } catch (err) {
      // A conflict is an answer: another entry was faster.
      isFailing = !(err instanceof ConflictError);
      log.info(errorFields(err), 'lease not settled');
    }
    isRunning = false;
    if (!isClosed) cancel = clock.after(shouldRunAgain ? 0 : waitMs * (0.9 + random() / 5), run);
    shouldRunAgain = false;
  }
  run();

  /** Takes the next step at once, or right after the one that is under way. */
  function runNow() {
    if (isRunning) {
      shouldRunAgain = true;
      return;
    }
    cancel();
    run();
  }

  function close() {
    isClosed = true;
    cancel();
  }

  return {
    orderPermit() {
      const isOrphaned = isFailing && clock.now() - answeredAt > leaseTtlMs;
      const token = isOrphaned ? newestToken : held?.token ?? 0;
      return token > highestFenced ? { token, isOrphaned } : undefined;
    },
    entryCount: () => Math.max(1, entries.length),
    nextEntryMs: () => nextEntryMs(entries, node, clock.now() + clockOffset),
    onFenced(token) {
      highestFenced = Math.max(highestFenced, token);
      if (held && held.token <= highestFenced) dropLease('fenced');
    },
    announceStop(graceMs) {
      isStopping = true;
      // Before the store's clock is known, nobody can be told a time.
      if (entries.length === 0) return;
      backAt = expectedBackAt(clock.now() + clockOffset, graceMs);
      isRegistered = false;
      runNow();
    },
    async release() {
      close();
      if (!held) return;
      const record = { ...held, until: clock.now() + clockOffset };
      held = undefined;
      try {
        await store.write({
          expect: [{ table, key: leaseKey, version }],
          put: [{ table, key: leaseKey, value: encode(record) }],
        });
        log.info({ token: record.token }, 'lease released');
      } catch (err) {
        // It lapses by itself; another entry may have it by now.
        log.info(errorFields(err), 'lease not released');
      }
    },
    close,
  };
}
