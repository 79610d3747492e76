/**
 * A store whose changes are followed through another entry of the zone where possible. Whenever
 * that entry does not answer in time or can't tell, the call goes to the store itself, so a lost
 * relay delays changes by at most one timeout.
 */
import type { Logger } from 'pino';
import {
  errorFields, HistoryLostError, PlatformError, TargetError, type Clock,
} from '@verbenashunt/core';
import { exchangeOnce, type Exchanger } from '@verbenashunt/wire';
import type { RowStore, TableState } from '../ports.js';
import type { EntryRecord } from '../store/entry-rows.js';
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
  /** Whether the bounds of the settings leave time to notice a lost relay. */
  isEnabled(): boolean;
  entries(): readonly EntryRecord[];
}

export interface RelayedStore extends RowStore {
  /** Whether a relay has lately passed on the state of the store. */
  isUpThroughRelay(): boolean;
  /** Log of a table that this entry has followed; undefined for another one. */
  logOf(table: string): TableLog | undefined;
}

/** Longest wait of a call to a relay in milliseconds; a lost relay is noticed after it. */
const relayWaitMs = 1500;
/** Time in milliseconds within which a relay answers, beyond the wait that a call asks for. */
const relaySlackMs = 300;
/** Time in milliseconds within which the store answers, beyond the wait that a call asks for. */
const storeSlackMs = 800;
/** Time in milliseconds for which a relay that did not answer is avoided. */
const avoidMs = 10_000;
/** Time in milliseconds for which a relay that could not tell is avoided. */
const avoidBehindMs = 1000;
/**
 * Time in milliseconds for which an entry that has a relay does not call the store again after a
 * failure, so that an outage of the store does not bring calls of all entries.
 */
const storeRetryMs = 1500;
/** Time in milliseconds after an answer of a relay for which the store counts as up. */
const relayedAgeMs = 2500;
/** Fewest entries of a zone for which a relay is used; with fewer, it saves next to nothing. */
const minEntries = 3;
const statusOk = 200;

/**
 * Longest time in milliseconds by which a follower learns of a change later through a relay: the
 * relay notices that it has lost the store, or the follower that it has lost the relay.
 */
export const maxRelayDelayMs = Math.max(relayWaitMs + relaySlackMs, relayWaitMs + storeSlackMs);

export function createRelayedStore(deps: RelayedStoreDeps): RelayedStore {
  const {
    clock, log, store, exchanger, node, zone,
  } = deps;
  const logs = new Map<string, TableLog>();
  /** End of the time for which each relay is avoided, by VM. */
  const avoidedUntil = new Map<string, number>();
  /** Newest era that the store stated; relays answer only for the same one. */
  let era = 0;
  /** When a relay last passed on the state of the store. */
  let relayedAt = -Infinity;
  /** When the store may be called again after a failure, by an entry that has a relay. */
  let storeRetryAt = -Infinity;

  const isAvoided = (other: string) => (avoidedUntil.get(other) ?? -Infinity) > clock.now();

  function logFor(table: string, waitMs: number): TableLog {
    const known = logs.get(table);
    if (known) return known;
    const created = createTableLog(clock, waitMs + storeSlackMs);
    logs.set(table, created);
    return created;
  }

  async function record(tableLog: TableLog, call: Promise<TableState>): Promise<TableState> {
    try {
      const state = await call;
      era = state.era;
      storeRetryAt = -Infinity;
      return state;
    } catch (err) {
      tableLog.recordFailure();
      // With lost history the store did answer.
      if (!(err instanceof HistoryLostError)) storeRetryAt = clock.now() + storeRetryMs;
      throw err;
    }
  }

  async function changesFromStore(table: string, after: number, waitMs: number) {
    const tableLog = logFor(table, waitMs);
    const state = await record(tableLog, store.changes(table, after, waitMs));
    tableLog.recordChanges(after, state);
    return state;
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
    }, waitMs + relaySlackMs);
    return status === statusOk ? decodeChanges(body.toString()) : undefined;
  }

  /** Resolves to undefined if the relay has no answer, and avoids it for some time. */
  async function tryRelay(
    relay: Relay,
    ...[table, after, waitMs]: Parameters<RowStore['changes']>
  ): Promise<TableState | undefined> {
    try {
      const state = await changesFromRelay(relay.address, table, after, waitMs);
      if (state) relayedAt = clock.now();
      else avoidedUntil.set(relay.node, clock.now() + avoidBehindMs);
      return state;
    } catch (err) {
      avoidedUntil.set(relay.node, clock.now() + avoidMs);
      const fields = { relay: relay.node, table, ...errorFields(err) };
      if (err instanceof TargetError) log.info(fields, 'relay did not answer');
      else log.warn(fields, 'relay not understood');
      return undefined;
    }
  }

  return {
    async read(table) {
      const state = await store.read(table);
      era = state.era;
      logs.get(table)?.recordRead(state);
      return state;
    },
    async changes(table, after, waitMs) {
      const relay = deps.isEnabled()
        ? chooseRelay(deps.entries(), {
          node, zone, minEntries, isAvoided,
        })
        : undefined;
      const relayed = relay && await tryRelay(relay, table, after, Math.min(waitMs, relayWaitMs));
      if (relayed) return relayed;
      const mustWait = relay !== undefined && clock.now() < storeRetryAt;
      if (mustWait) throw new PlatformError(`neither the store nor ${relay.node} could tell`);
      return changesFromStore(table, after, waitMs);
    },
    write: store.write,
    close: store.close,
    isUpThroughRelay: () => clock.now() - relayedAt <= relayedAgeMs,
    logOf: (table) => logs.get(table),
  };
}
