/**
 * A store whose changes are followed through another entry of the zone where possible. Whenever
 * that entry does not answer in time or can't tell, and whenever what it passes on gets old, the
 * call goes to the store itself. So changes are delayed by a limited time, however many relays are
 * lost one after the other.
 */
import type { Logger } from 'pino';
import {
  errorFields, HistoryLostError, PlatformError, PlatformRateError, TargetError, type Clock,
} from '@verbenashunt/core';
import { exchangeOnce, type Exchanger } from '@verbenashunt/wire';
import type { RowStore, TableState } from '../ports.js';
import type { EntryRecord } from '../store/entry-rows.js';
import { createStoreClock } from '../store/store-clock.js';
import { chooseRelay, type Relay } from './choose-relay.js';
import { decodeChanges } from './encoding.js';
import { relayPath } from './relay-server.js';
import { createTableLog, type TableLog } from './table-log.js';

export interface RelayedStoreDeps {
  clock: Clock;
  log: Logger;
  store: RowStore;
  exchanger: Exchanger;
  node: string;
  zone: string;
  /**
   * Age in milliseconds of what is known of a table at which the store itself is asked. A relay is
   * used if this leaves time for its answers.
   */
  maxAgeMs(): number;
  /** Tables of which relays pass on the newest change of each row only. */
  newestOnlyTables: readonly string[];
  entries(): readonly EntryRecord[];
}

export interface RelayedStore extends RowStore {
  /** Whether a relay has lately passed on the state of the store. */
  isUpThroughRelay(): boolean;
  /** Log of a table that this entry has followed; undefined for another one. */
  logOf(table: string): TableLog | undefined;
  /**
   * Time in milliseconds since what this entry has received of a table was known to be the newest
   * state; Infinity if it never was.
   */
  ageMs(table: string): number;
}

/** Longest wait of a call to a relay or the store in milliseconds. */
const maxWaitMs = 1500;
/** Time in milliseconds within which a relay answers, beyond the wait that a call asks for. */
const relaySlackMs = 300;
/** A large answer takes long on a slow link. */
const transfer = { pauseMs: relaySlackMs, totalMs: 1500 };
/** Time in milliseconds within which the store answers, beyond the wait that a call asks for. */
const storeSlackMs = 800;
/** Time in milliseconds for which a relay that did not answer is avoided. */
const avoidMs = 10_000;
/** Time in milliseconds for which a relay that could not tell is avoided. */
const avoidBehindMs = 1000;
/**
 * Time in milliseconds between calls to the store that fail, by an entry that has a relay, so that
 * an outage of the store does not bring calls of all entries.
 */
const storeRetryMs = 1500;
/** Age in milliseconds of what a relay has passed on up to which the store counts as up. */
const relayedAgeMs = 2 * maxWaitMs + relaySlackMs;
/** Fewest entries of a zone for which a relay is used; with fewer, it saves next to nothing. */
const minEntries = 3;
const statusOk = 200;

/** Shortest `maxAgeMs` with which a relay is used: what it passes on may be as old as a wait. */
const minAgeLimitMs = maxWaitMs + relaySlackMs;

export function createRelayedStore(deps: RelayedStoreDeps): RelayedStore {
  const {
    clock, log, store, exchanger, node, zone,
  } = deps;
  const logs = new Map<string, TableLog>();
  const storeClock = createStoreClock(clock);
  /** When what was received of each table was known to be its newest state. */
  const newestAsOf = new Map<string, number>();
  /** End of the time for which each relay is avoided, by VM. */
  const avoidedUntil = new Map<string, number>();
  /** Newest era that the store stated; relays answer only for the same one. */
  let era = 0;
  /** Time as of which a relay has passed on the newest state of the store. */
  let relayedAsOf = -Infinity;
  /** When the first call since the store's last answer got no response; undefined if none did. */
  let silentAt: number | undefined;
  /** When the store may be called again after a failure, by an entry that has a relay. */
  let storeRetryAt = -Infinity;

  const isAvoided = (other: string) => (avoidedUntil.get(other) ?? -Infinity) > clock.now();

  const ageMs = (table: string) => clock.now() - (newestAsOf.get(table) ?? -Infinity);

  function logFor(table: string): TableLog {
    const known = logs.get(table);
    if (known) return known;
    const created = createTableLog(clock, {
      maxAgeMs: maxWaitMs + storeSlackMs,
      isNewestOnly: deps.newestOnlyTables.includes(table),
    });
    logs.set(table, created);
    return created;
  }

  /** Starts a new era, whose clock may be another; an answer of an earlier one may come later. */
  function recordEra(next: number) {
    if (next <= era) return;
    era = next;
    storeClock.reset();
    newestAsOf.clear();
  }

  /**
   * A first call without response may have met a connection that went silent. A refusal, and the
   * silence of a later call, which has a new connection, tell that the store is away.
   */
  function recordFailure(startedAt: number, isRefusal: boolean) {
    const isAway = isRefusal || (silentAt !== undefined && startedAt >= silentAt);
    if (isAway) storeRetryAt = startedAt + storeRetryMs;
    silentAt ??= clock.now();
  }

  async function record(tableLog: TableLog, call: Promise<TableState>): Promise<TableState> {
    const startedAt = clock.now();
    try {
      const state = await call;
      recordEra(state.era);
      silentAt = undefined;
      storeRetryAt = -Infinity;
      return state;
    } catch (err) {
      tableLog.recordFailure();
      // With lost history the store did answer.
      if (!(err instanceof HistoryLostError)) {
        recordFailure(startedAt, err instanceof PlatformRateError);
      }
      throw err;
    }
  }

  /**
   * Returns the state with the time as of which it is the newest one, at least `knownAsOf`; without
   * it for a state of an earlier era.
   */
  function withAsOf(table: string, state: TableState, knownAsOf = -Infinity): TableState {
    if (state.era !== era) return state;
    storeClock.record(state.now);
    const asOf = Math.max(knownAsOf, storeClock.toLocal(state.now));
    newestAsOf.set(table, Math.max(newestAsOf.get(table) ?? -Infinity, asOf));
    return { ...state, asOf };
  }

  async function changesFromStore(table: string, after: number, waitMs: number) {
    const askedAt = clock.now();
    const tableLog = logFor(table);
    const state = await record(tableLog, store.changes(table, after, waitMs));
    tableLog.recordChanges(after, state);
    return withAsOf(table, state, askedAt);
  }

  /** Resolves to undefined if the relay can't tell. */
  async function changesFromRelay(address: string, table: string, after: number, waitMs: number) {
    const query = new URLSearchParams({
      after: String(after), era: String(era), waitMs: String(waitMs),
    });
    const { status, body } = await exchangeOnce(exchanger, address, {
      method: 'GET',
      path: `${relayPath}/${encodeURIComponent(table)}?${query}`,
      headers: ['Host', address],
      body: undefined,
    }, waitMs + relaySlackMs, { dedicatedConnection: false, transfer });
    return status === statusOk ? decodeChanges(body.toString()) : undefined;
  }

  /** Resolves to undefined if the relay has no answer, and avoids it for some time. */
  async function tryRelay(
    relay: Relay,
    ...[table, after, waitMs]: Parameters<RowStore['changes']>
  ): Promise<TableState | undefined> {
    try {
      const state = await changesFromRelay(relay.address, table, after, waitMs);
      if (!state) {
        avoidedUntil.set(relay.node, clock.now() + avoidBehindMs);
        return undefined;
      }
      const current = withAsOf(table, state);
      relayedAsOf = Math.max(relayedAsOf, current.asOf ?? -Infinity);
      return { ...current, via: relay.node };
    } catch (err) {
      avoidedUntil.set(relay.node, clock.now() + avoidMs);
      const fields = { relay: relay.node, table, ...errorFields(err) };
      if (err instanceof TargetError) log.info(fields, 'relay did not answer');
      else log.warn(fields, 'relay not understood');
      return undefined;
    }
  }

  const findRelay = () => (deps.maxAgeMs() >= minAgeLimitMs
    ? chooseRelay(deps.entries(), {
      node, zone, minEntries, isAvoided,
    })
    : undefined);

  /**
   * Time in milliseconds that a call to a relay may wait, so that the store is asked in time if it
   * is in vain; negative if there is none.
   */
  function relayTimeMs(table: string) {
    const storeDueMs = deps.maxAgeMs() - ageMs(table);
    const storeRetryInMs = storeRetryAt - clock.now();
    return Math.floor(Math.min(maxWaitMs, Math.max(storeDueMs, storeRetryInMs) - relaySlackMs));
  }

  /** Time in milliseconds that a call to the store may wait, in whole ones as the store takes. */
  const storeTimeMs = (table: string) => Math.max(0, Math.floor(deps.maxAgeMs() - ageMs(table)));

  return {
    async read(table) {
      const state = await store.read(table);
      recordEra(state.era);
      logs.get(table)?.recordRead(state);
      return state;
    },
    async changes(table, after, waitMs) {
      const relay = findRelay();
      if (!relay) return changesFromStore(table, after, waitMs);
      const relayMs = Math.min(waitMs, relayTimeMs(table));
      const relayed = relayMs < 0 ? undefined : await tryRelay(relay, table, after, relayMs);
      if (relayed) return relayed;
      if (clock.now() < storeRetryAt) throw new PlatformError(`neither the store nor ${relay.node} could tell`);
      return changesFromStore(table, after, Math.min(waitMs, storeTimeMs(table)));
    },
    write: store.write,
    close: store.close,
    isUpThroughRelay: () => clock.now() - relayedAsOf <= relayedAgeMs,
    logOf: (table) => logs.get(table),
    ageMs,
  };
}
