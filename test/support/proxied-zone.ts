/**
 * Entries of one zone that follow a table of the store, each behind proxies: one on its way to the
 * store, and one before its server for the other entries.
 */
import { pino } from 'pino';
import { SystemClock } from '@verbenashunt/core';
import {
  createRelayedStore, followTable, serveRelay, type EntryRecord, type StoredRow,
} from '@verbenashunt/gateway';
import { createPlatformPorts } from '@verbenashunt/platform';
import { startStore, type StoreStandIn } from '@verbenashunt/platform/stand-in';
import { createExchanger } from '@verbenashunt/wire';
import { createRelay, type Relay } from './relay.js';

const table = 'op';
/** Random number for which pauses after failures are longest. */
const longestPauses = () => 1;
const host = '127.0.0.1';

export interface ZoneMember {
  toStore: Relay;
  /** Before its server for the other entries. */
  toEntry: Relay;
  /** Versions that it has applied, with the time of each on `performance`. */
  applied: { version: number; at: number }[];
}

export interface ProxiedZone {
  store: StoreStandIn;
  /** The first one is the relay of all others, and the next ones take its place in their order. */
  members: ZoneMember[];
  /** Writes the next version; returns it with the time at which the store has it. */
  change(): { version: number; at: number };
  close(): Promise<void>;
}

export interface ProxiedZoneOptions {
  size: number;
  /** See `RelayedStoreDeps.maxAgeMs`. */
  maxAgeMs: number;
}

const portOf = (address: string) => Number(address.split(':')[1]);

export async function startProxiedZone(
  { size, maxAgeMs }: ProxiedZoneOptions,
): Promise<ProxiedZone> {
  const store = await startStore();
  const entries: EntryRecord[] = [];
  const cleanups: (() => unknown)[] = [store.close];
  const clock = new SystemClock();
  const log = pino({ level: 'silent' });
  let version = 0;

  function change() {
    version += 1;
    store.put(table, 'config', { version });
    return { version, at: performance.now() };
  }
  change();

  async function startMember(index: number): Promise<ZoneMember> {
    const node = `entry-${index}`;
    const toStore = await createRelay(portOf(store.address));
    const client = createPlatformPorts(`${host}:${toStore.port}`).store;
    const exchanger = createExchanger({ connectTimeoutMs: 300, keepAliveMs: 4000 });
    const relayed = createRelayedStore({
      clock,
      log,
      store: client,
      exchanger,
      node,
      zone: 'zone-a',
      maxAgeMs: () => maxAgeMs,
      newestOnlyTables: [table],
      entries: () => entries,
    });
    const server = await serveRelay({ host, port: 0 }, {
      logOf: relayed.logOf, onAnnouncement() {}, takeToken: async () => 0,
    });
    const toEntry = await createRelay(server.port);
    entries[index] = {
      node, backAt: undefined, relay: { address: `${host}:${toEntry.port}`, zone: 'zone-a', capacity: size - index },
    };
    const applied: ZoneMember['applied'] = [];
    const record = (rows: readonly StoredRow[]) => rows.forEach(({ value }) => {
      const row = JSON.parse(value!.toString()) as { version: number };
      applied.push({ version: row.version, at: performance.now() });
    });
    const follower = followTable({ table, onRows: record, onChanges: record }, {
      clock, log, random: longestPauses, store: relayed,
    });
    cleanups.push(
      follower.close,
      server.close,
      exchanger.close,
      client.close,
      toStore.close,
      toEntry.close,
    );
    return { toStore, toEntry, applied };
  }

  const members = await Promise.all(Array.from({ length: size }, (_, i) => startMember(i)));
  return {
    store,
    members,
    change,
    async close() {
      await Promise.all(cleanups.reverse().map((cleanup) => cleanup()));
    },
  };
}

/** When a member applied a version or a later one; Infinity if it has not. */
export const appliedAt = ({ members }: ProxiedZone, member: number, version: number) => (
  members[member]!.applied.find((applied) => applied.version >= version)?.at ?? Infinity);
