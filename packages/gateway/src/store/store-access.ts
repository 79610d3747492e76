/**
 * An entry's access to the store: the lease, its own row, and the tables that it follows by itself
 * or through another entry of its zone.
 */
import type { Logger } from 'pino';
import type { Clock } from '@verbenashunt/core';
import { createExchanger, type Exchanger } from '@verbenashunt/wire';
import type { Address } from '../http/server.js';
import type { LoadReceiver } from '../load/load-server.js';
import type { RowStore } from '../ports.js';
import { createAnnouncements, type Announcements } from '../relay/announcements.js';
import { createRelayedStore, type RelayedStore } from '../relay/relayed-store.js';
import { serveRelay } from '../relay/relay-server.js';
import type { RateLimiter } from '../targets/rate-limiter.js';
import { createLeaseKeeper, type LeaseKeeper } from './lease-keeper.js';

export interface StoreAccessOptions {
  node: string;
  zone: string;
  /** Address on which other entries follow the store through this one; undefined for none. */
  relay: Address | undefined;
  /** Capacity of the VM for the requests of other entries, in cores. */
  capacity: number;
}

export interface StoreAccessDeps {
  clock: Clock;
  random: () => number;
  log: Logger;
  store: RowStore;
  /** Shortest time in milliseconds within which a change in the store must take hold. */
  changeBoundMs(): number;
  /** Tables of which relays pass on the newest change of each row only. */
  newestOnlyTables: readonly string[];
  /** Takes a token for another entry of a bucket that this one keeps. */
  takeToken: RateLimiter['takeForOther'];
  /** Returns what takes the loads of other entries; undefined while there is nothing. */
  loadReceiver(): LoadReceiver | undefined;
}

export interface StoreAccess {
  lease: LeaseKeeper;
  /** The store, with changes followed through a relay where the bounds allow it. */
  store: RelayedStore;
  /** Rows that entries send to each other while the store does not take them. */
  announcements: Announcements;
  /** For calls to other entries. */
  entryExchanger: Exchanger;
  close(): void;
}

/** Timeout in milliseconds for a connection to a relay, which is in the same zone. */
const connectTimeoutMs = 300;
/** Idle time in milliseconds after which a connection to a relay is not reused. */
const keepAliveMs = 4000;
/** Time in milliseconds in which a change that has arrived takes hold, on a busy VM. */
const applyMarginMs = 300;
/** Time in milliseconds that a call to the store takes which gets no answer. */
const lostCallMs = 700;

export async function createStoreAccess(
  {
    node, zone, relay, capacity,
  }: StoreAccessOptions,
  deps: StoreAccessDeps,
): Promise<StoreAccess> {
  const exchanger = createExchanger({ connectTimeoutMs, keepAliveMs });
  let relayedStore: RelayedStore | undefined;
  let lease: LeaseKeeper | undefined;
  const announcements = createAnnouncements({
    log: deps.log, exchanger, node, entries: () => lease?.entries() ?? [],
  });
  const server = relay && await serveRelay(relay, {
    logOf: (table) => relayedStore?.logOf(table),
    onAnnouncement: announcements.receive,
    takeToken: deps.takeToken,
    loadReceiver: deps.loadReceiver,
  });
  lease = createLeaseKeeper({
    ...deps,
    announcements,
    node,
    relay: relay && { address: `${relay.host}:${server!.port}`, zone, capacity },
    isStoreUp: () => relayedStore?.isUpThroughRelay() ?? false,
  });
  relayedStore = createRelayedStore({
    ...deps,
    exchanger,
    node,
    zone,
    maxAgeMs: () => deps.changeBoundMs() - applyMarginMs - lostCallMs,
    entries: lease.entries,
  });
  return {
    lease,
    store: relayedStore,
    announcements,
    entryExchanger: exchanger,
    close() {
      server?.close();
      exchanger.close();
      deps.store.close();
    },
  };
}
