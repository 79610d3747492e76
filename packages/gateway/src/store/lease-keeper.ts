/**
 * Acquires and renews the lease on sending orders to engines, and counts the entries, which share
 * limits. One small table holds the lease and one row for each entry. When the store was restored
 * from an older copy, the lease is acquired anew and each entry writes its row again.
 */
import type { Logger } from 'pino';
import {
  ConflictError, errorFields, leaseKeyOf, leaseRenewMs, leaseTtlMs, nextLease, parseLease,
  PlatformError, type Clock, type LeaseRecord,
} from '@verbenashunt/core';
import type {
  RowStore, RowWrite, StoredRow, StoreState,
} from '../ports.js';
import type { Announcements } from '../relay/announcements.js';
import {
  createEntryList, decodeEntries, entryKey, expectedBackAt, nextEntryMs, type EntryRecord,
  type RelayAddress,
} from './entry-rows.js';

const table = 'verbenashunt';
/** Delay in milliseconds after a failed call to the store. */
const retryMs = 500;
/**
 * Times after the start of an entry, in milliseconds, by which it reads the rows again at the
 * latest, so that it soon knows the entries that started with it.
 */
const firstReadsMs = [1200, 5000, 9000] as const;
/**
 * Delay in milliseconds, on average, after the expiry of another entry's lease until one of the
 * entries reads it. The larger the fleet, the more seldom each of them reads.
 */
const takeoverMs = 250;
/** Longest time in milliseconds over which entries spread their reads once the store is back. */
const maxReturnSpreadMs = 4000;
/** Read interval in milliseconds of a stopping entry, which tells callers when to retry. */
const stoppingReadMs = 1000;
/** Delay in milliseconds after the expiry of another entry's lease before it is read again. */
const expiryMarginMs = 100;

export interface LeaseKeeperDeps {
  clock: Clock;
  random: () => number;
  log: Logger;
  store: RowStore;
  announcements: Pick<Announcements, 'send' | 'onRow'>;
  node: string;
  /** How other entries follow the store through this one; undefined if they don't. */
  relay?: RelayAddress;
  /** Whether another entry has lately passed on the state of the store, so that it is not away. */
  isStoreUp?(): boolean;
}

/** Permission to send orders to engines. */
export interface OrderPermit {
  /** Fencing token for the orders. */
  token: number;
  /**
   * The store has been unreachable for longer than the lease's time to live, here and at the relay,
   * so its holder is unknown. Any entry may then load layers, with the newest token it knows; this
   * is safe, since a target refuses an order with a lower token or one that doesn't know of an
   * earlier order.
   */
  isHolderUnknown: boolean;
}

export interface LeaseKeeper {
  /** Undefined while this entry must not send orders. */
  orderPermit(): OrderPermit | undefined;
  /** Known entries, this one included once it has read its own row. */
  entries(): readonly EntryRecord[];
  /** Number of known entries, at least 1. */
  entryCount(): number;
  /** Whether the entry's row existed before this process wrote it, or may have. */
  hadRow(): boolean;
  /**
   * Converts a time on this process's clock to the store's, in milliseconds; undefined before the
   * store's first answer.
   */
  storeTimeOf(time: number): number | undefined;
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
  /** To be called when the store answers again or was restored; the rows are read soon. */
  storeReturned(): void;
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
    clock, random, log, store, announcements, node, relay,
  } = deps;
  const startedAt = clock.now();
  const entries = createEntryList(clock);
  let held: LeaseRecord | undefined;
  /** End of the held lease on this process's clock, counted from before it was written. */
  let heldUntil = -Infinity;
  /** Version of the row with the lease; 0 if there is none. */
  let version = 0;
  /** Era of the store; undefined until its first answer. */
  let era: number | undefined;
  /** When this entry may first acquire the lease; later after a restoration of the store. */
  let mayAcquireAt = -Infinity;
  /** The store's clock minus this process's, in milliseconds. */
  let clockOffset = 0;
  let isRegistered = false;
  /** Undefined before the first attempt to write this entry's row. */
  let hadRow: boolean | undefined;
  /** Whether the other entries were sent what is registered. */
  let isAnnounced = true;
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

  /**
   * Starts a new era: the rows that this entry wrote may be gone. The former holder acquires the
   * lease again at once, and the other entries wait until it has lost the old one.
   */
  function startEra(next: number) {
    const isRestored = era !== undefined;
    era = next;
    if (!isRestored) return;
    log.warn({ era, token: held?.token }, 'entry registers again, as the store was restored');
    mayAcquireAt = held ? clock.now() : clock.now() + leaseTtlMs;
    dropLease('the store was restored');
    isRegistered = false;
    entries.storeRestored();
  }

  function recordState(state: StoreState) {
    if (state.era < (era ?? 0)) throw new PlatformError(`the store answered in era ${state.era} after era ${era}`);
    if (state.era !== era) startEra(state.era);
    clockOffset = state.now - clock.now();
  }

  /** Writes this entry's row, and learns with the first attempt whether there was one before. */
  async function writeRow(row: RowWrite): Promise<StoreState> {
    if (hadRow !== undefined || !relay) return store.write({ expect: [], put: [row] });
    // If the answer is lost, the row of this attempt can't be told from an earlier one.
    hadRow = true;
    try {
      const isAbsent = { table, key: row.key, version: 0 };
      const state = await store.write({ expect: [isAbsent], put: [row] });
      hadRow = false;
      return state;
    } catch (err) {
      if (!(err instanceof ConflictError)) throw err;
      return store.write({ expect: [], put: [row] });
    }
  }

  async function register() {
    if (isRegistered) return;
    recordState(await writeRow({
      table, key: entryKey(node), value: encode({ node, backAt, relay }),
    }));
    isRegistered = true;
    isAnnounced = false;
  }

  /** Sends this entry's row to the others, which read the table seldom; they must be known. */
  function announce() {
    if (isAnnounced) return;
    isAnnounced = true;
    announcements.send({ table, key: entryKey(node), value: encode({ node, backAt, relay }) });
  }

  const onInvalidRow = (key: string, err: unknown) => {
    log.warn({ key, ...errorFields(err) }, 'row not understood');
  };

  announcements.onRow(table, (row) => {
    decodeEntries([row], onInvalidRow).forEach(entries.put);
  });

  /**
   * Writes the lease; resolves to the milliseconds until the next run. If the store was restored
   * meanwhile, the write hit the row of an earlier era, which permits nothing.
   */
  async function writeLease(record: LeaseRecord): Promise<number> {
    const key = leaseKeyOf(era ?? 0);
    const eraBefore = era;
    const sentAt = clock.now();
    const written = await store.write({
      expect: [{ table, key, version }], put: [{ table, key, value: encode(record) }],
    });
    recordState(written);
    if (era !== eraBefore) return 0;
    if (held?.token !== record.token) log.info({ token: record.token }, 'lease taken');
    held = record;
    heldUntil = sentAt + leaseTtlMs;
    recordAnswer(record.token);
    version = written.version;
    return leaseRenewMs;
  }

  /**
   * Time in milliseconds over which the entries spread their reads, such that one of them reads
   * within `takeoverMs` on average.
   */
  const takeoverSpreadMs = () => Math.max(retryMs, takeoverMs * 2 * entries.all.length);

  /** Milliseconds until the next read while another entry holds the lease. */
  function readAgainMs(expiresInMs: number): number {
    const waitMs = Math.max(0, expiresInMs) + expiryMarginMs + random() * takeoverSpreadMs();
    const ageMs = clock.now() - startedAt;
    const firstReadMs = firstReadsMs.find((ms) => ms > ageMs) ?? Infinity;
    return Math.min(waitMs, firstReadMs - ageMs);
  }

  async function readTable(): Promise<number> {
    const state = await store.read(table);
    recordState(state);
    const row = state.rows.find(({ key }) => key === leaseKeyOf(state.era));
    entries.update(decodeEntries(state.rows, onInvalidRow));
    announce();
    version = row?.version ?? 0;
    const current = decodeLease(row);
    recordAnswer(current?.token ?? 0);
    if (held && current?.token !== held.token) dropLease('another entry holds it');
    const next = nextLease(current, {
      holder: node, now: state.now, ownToken: held?.token, era: state.era,
    });
    const waitMs = mayAcquireAt - clock.now();
    if (next && waitMs <= 0 && (held || !isStopping)) return writeLease(next);
    if (!isRegistered) return 0;
    if (isStopping) return stoppingReadMs;
    if (next) return waitMs + random() * retryMs;
    return readAgainMs(current!.until - state.now);
  }

  async function renewOrAcquire(): Promise<number> {
    await register();
    if (!held || isStopping) return readTable();
    try {
      return await writeLease(nextLease(held, {
        holder: node, now: clock.now() + clockOffset, ownToken: held.token, era: era ?? 0,
      })!);
    } catch (err) {
      // The answer to an earlier renewal may have been lost, so the stored row decides.
      if (err instanceof ConflictError) return readTable();
      throw err;
    }
  }

  async function run() {
    if (isClosed) return;
    isRunning = true;
    let waitMs: number = held || isStopping ? retryMs : Math.max(retryMs, takeoverSpreadMs() / 2);
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
      const isAway = isFailing && clock.now() - answeredAt > leaseTtlMs;
      // If only this entry is turned away, the holder goes on renewing the lease.
      const isHolderUnknown = isAway && !deps.isStoreUp?.();
      // A process that was frozen finds its lease expired before it has read the store again.
      const isExpired = !isFailing && clock.now() >= heldUntil;
      const heldToken = isExpired ? 0 : held?.token ?? 0;
      const token = isHolderUnknown ? newestToken : heldToken;
      return token > highestFenced ? { token, isHolderUnknown } : undefined;
    },
    entries: () => entries.all,
    storeTimeOf: (time) => (era === undefined ? undefined : time + clockOffset),
    entryCount: () => Math.max(1, entries.all.length),
    hadRow: () => hadRow ?? true,
    nextEntryMs: () => nextEntryMs(entries.all, node, clock.now() + clockOffset),
    onFenced(token) {
      highestFenced = Math.max(highestFenced, token);
      if (held && held.token <= highestFenced) dropLease('fenced');
    },
    announceStop(graceMs) {
      isStopping = true;
      // Before the first read, the offset of the store's clock is unknown.
      if (entries.all.length === 0) return;
      backAt = expectedBackAt(clock.now() + clockOffset, graceMs);
      isRegistered = false;
      runNow();
    },
    storeReturned() {
      clock.after(Math.min(maxReturnSpreadMs, takeoverSpreadMs()) * random(), () => {
        if (!isClosed) runNow();
      });
    },
    async release() {
      close();
      if (!held) return;
      const record = { ...held, until: clock.now() + clockOffset };
      const key = leaseKeyOf(era ?? 0);
      held = undefined;
      try {
        await store.write({
          expect: [{ table, key, version }], put: [{ table, key, value: encode(record) }],
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
