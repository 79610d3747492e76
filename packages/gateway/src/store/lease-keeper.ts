/**
 * Acquires and renews the lease on sending orders to engines, and counts the entries, which share
 * limits. One small table holds the lease and one row for each entry.
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
/** Delay in milliseconds after a failed call to the store. */
const retryMs = 500;
/** Maximum interval in milliseconds between reads while another entry holds the lease. */
const maxReadMs = 4000;
/** Read interval in milliseconds of a stopping entry, which tells callers when to retry. */
const stoppingReadMs = 1000;
/** Delay in milliseconds after the expiry of another entry's lease before it is read again. */
const expiryMarginMs = 100;

export interface LeaseKeeperDeps {
  clock: Clock;
  random: () => number;
  log: Logger;
  store: RowStore;
  node: string;
}

/** Permission to send orders to engines. */
export interface OrderPermit {
  /** Fencing token for the orders. */
  token: number;
  /**
   * The store has been unreachable for longer than the lease's time to live, so its holder is
   * unknown. Any entry may then load layers, with the newest token it knows; this is safe, since a
   * target refuses an order with a lower token or one that doesn't know of an earlier order.
   */
  isHolderUnknown: boolean;
}

export interface LeaseKeeper {
  /** Undefined while this entry must not send orders. */
  orderPermit(): OrderPermit | undefined;
  /** Number of known entries, at least 1. */
  entryCount(): number;
  /** To be called when a target refuses an order because it has seen a higher token. */
  onFenced(token: number): void;
  /**
   * Milliseconds until another entry serves: 0 if one serves now, else the time until the first of
   * the stopping entries is back; Infinity if no other is known.
   */
  nextEntryMs(): number;
  /**
   * Announces to the other entries that this process ends within `graceMs`. It acquires no lease
   * from now on, but keeps renewing one that it holds.
   */
  announceStop(graceMs: number): void;
  /** Ends the lease so that another entry can take over at once; never rejects. */
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
  /** The store's clock minus this process's, in milliseconds. */
  let clockOffset = 0;
  let entries: readonly EntryRecord[] = [];
  let isRegistered = false;
  /** When this entry serves again, on the store's clock; undefined unless it is stopping. */
  let backAt: number | undefined;
  let highestFenced = 0;
  /** Highest token read or written. */
  let newestToken = 0;
  let answeredAt = clock.now();
  /** The last call to the store failed. */
  let isFailing = false;
  let isStopping = false;
  let isClosed = false;
  /** A run is in progress; with `shouldRunAgain`, another follows at once. */
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

  /** Writes the lease; resolves to the milliseconds until the next run. */
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
      // The answer to an earlier renewal may have been lost, so the stored row decides.
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
      // A conflict means that the store answers and another entry was faster.
      isFailing = !(err instanceof ConflictError);
      log.info(errorFields(err), 'could not renew or acquire the lease');
    }
    isRunning = false;
    if (!isClosed) cancel = clock.after(shouldRunAgain ? 0 : waitMs * (0.9 + random() / 5), run);
    shouldRunAgain = false;
  }
  run();

  /** Starts the next run at once, or right after the one in progress. */
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
      const isHolderUnknown = isFailing && clock.now() - answeredAt > leaseTtlMs;
      const token = isHolderUnknown ? newestToken : held?.token ?? 0;
      return token > highestFenced ? { token, isHolderUnknown } : undefined;
    },
    entryCount: () => Math.max(1, entries.length),
    nextEntryMs: () => nextEntryMs(entries, node, clock.now() + clockOffset),
    onFenced(token) {
      highestFenced = Math.max(highestFenced, token);
      if (held && held.token <= highestFenced) dropLease('fenced');
    },
    announceStop(graceMs) {
      isStopping = true;
      // Before the first read, the offset of the store's clock is unknown.
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
        // The lease expires by itself, or another entry may hold it already.
        log.info(errorFields(err), 'could not release the lease');
      }
    },
    close,
  };
}
