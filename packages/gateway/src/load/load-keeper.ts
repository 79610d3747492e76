/**
 * The keeper's side of the load exchange: sums the loads of a zone's entries and grants retries
 * from what they lend. Every entry can be a keeper; each member chooses one by `chooseRelay`.
 */
import {
  createRetryBank, type Clock, type RetryBank,
} from '@verbenashunt/core';
import type {
  LoadAnswer, LoadReport, ServiceLoads, ZoneLoads,
} from '../generated/relay.js';
import { createLoadSums, emptyLoad, type Load } from './load-sums.js';

/** Why a message is dropped. */
export type DropReason = 'malformed' | 'foreign' | 'stale';

export interface LoadKeeperDeps {
  clock: Clock;
  node: string;
  /** Start of this process in milliseconds since the Unix epoch. */
  start: number;
  zone: string;
  /** Length of the window of the retry budget in milliseconds. */
  windowMs(): number;
  isKnown(node: string): boolean;
  dropped(reason: DropReason): void;
}

export interface LoadKeeper {
  /** Returns undefined if the report is dropped. */
  receive(report: LoadReport): LoadAnswer | undefined;
  /** Takes over the sums of another zone. */
  receiveZone(loads: ZoneLoads): void;
  /** Sums of this zone, for the keepers of others. */
  zoneLoads(): ZoneLoads;
}

/** Age in milliseconds of a load from which it is no longer counted. */
const maxLoadAgeMs = 2000;
/**
 * Time in milliseconds without a message after which the start of an entry is forgotten, so that
 * one whose wall clock was set back is heard again.
 */
const forgetMs = 15_000;

/** A process that has sent messages. */
interface Sender {
  start: number;
  seq: number;
  heardAt: number;
}

/** Tells which messages are newer than all before. */
function createOrder(clock: Clock) {
  const senders = new Map<string, Sender>();

  return function isNewest(node: string, { start, seq }: Omit<Sender, 'heardAt'>): boolean {
    const now = clock.now();
    const last = senders.get(node);
    if (last && now - last.heardAt <= forgetMs) {
      if (start < last.start || (start === last.start && seq <= last.seq)) return false;
    }
    senders.set(node, { start, seq, heardAt: now });
    return true;
  };
}

export function createLoadKeeper(deps: LoadKeeperDeps): LoadKeeper {
  const {
    clock, node, start, zone,
  } = deps;
  const entrySums = createLoadSums();
  const zoneSums = createLoadSums();
  const banks = new Map<string, RetryBank>();
  const isNewestReport = createOrder(clock);
  const isNewestZone = createOrder(clock);
  let zoneSeq = 0;

  function bankOf(service: string): RetryBank {
    const known = banks.get(service);
    if (known) return known;
    const created = createRetryBank();
    banks.set(service, created);
    return created;
  }

  function dropReason(sender: string, isNewest: () => boolean): DropReason | undefined {
    if (!deps.isKnown(sender)) return 'foreign';
    return isNewest() ? undefined : 'stale';
  }

  /** Returns whether to drop the message, and counts it then. */
  function isDropped(sender: string, isNewest: () => boolean): boolean {
    const reason = dropReason(sender, isNewest);
    if (reason) deps.dropped(reason);
    return reason !== undefined;
  }

  function grantsFor({
    node: from, start: fromStart, stamp, services,
  }: LoadReport): Map<string, number> {
    const stampedAt = stamp?.start === start && stamp.at <= clock.now() ? stamp.at : undefined;
    const report = (name: string, load: ServiceLoads[string]) => bankOf(name).exchange({
      from: `${from}/${fromStart}`,
      stampedAt,
      lent: load.lent ?? 0,
      borrowed: load.borrowed ?? 0,
      wanted: load.wanted ?? 0,
    }, clock.now(), deps.windowMs());
    return new Map(Object.entries(services).map(([name, load]) => [name, report(name, load)]));
  }

  function withGrants(services: ServiceLoads, grants: ReadonlyMap<string, number>): ServiceLoads {
    const granted = [...grants].filter(([name, amount]) => amount > 0 || name in services)
      .map(([name, amount]) => [name, {
        ...services[name] ?? { requests: 0, retries: 0, denied: 0 },
        granted: amount,
      }] as const);
    return { ...services, ...Object.fromEntries(granted) };
  }

  /** Sum of two loads; a target is avoided until the later of both ends. */
  function addLoads(a: Load, b: Load): Load {
    const sums = createLoadSums();
    const now = clock.now();
    const taken = { at: now, now, entries: 0 };
    sums.set('a', a, taken);
    sums.set('b', b, taken);
    return sums.without(undefined, now);
  }

  /** Sums over the other entries of this zone and over the other zones. */
  function sumsWithout(other: string) {
    const now = clock.now();
    entrySums.dropBefore(now - maxLoadAgeMs);
    zoneSums.dropBefore(now - maxLoadAgeMs);
    const here = entrySums.without(other, now);
    const elsewhere = zoneSums.without(undefined, now);
    return {
      ...(elsewhere.entries > 0 ? addLoads(here, elsewhere) : here),
      entries: here.entries + elsewhere.entries,
      oldestAt: Math.min(here.oldestAt, elsewhere.oldestAt),
    };
  }

  const stamp = () => ({ start, at: clock.now() });

  return {
    receive(report) {
      if (isDropped(report.node, () => isNewestReport(report.node, report))) return undefined;
      const grants = grantsFor(report);
      if (report.grantsOnly) {
        return {
          node,
          stamp: stamp(),
          entries: 0,
          ageMs: 0,
          ...emptyLoad,
          services: withGrants({}, grants),
        };
      }
      const now = clock.now();
      entrySums.set(report.node, report, { at: now, now, entries: 1 });
      const { services, oldestAt, ...sums } = sumsWithout(report.node);
      return {
        node,
        stamp: stamp(),
        ...sums,
        ageMs: now - oldestAt,
        services: withGrants(services, grants),
      };
    },
    receiveZone(loads) {
      if (loads.zone === zone) {
        deps.dropped('foreign');
        return;
      }
      if (isDropped(loads.node, () => isNewestZone(loads.node, loads))) return;
      const now = clock.now();
      zoneSums.set(loads.zone, loads, { at: now - loads.ageMs, now, entries: loads.entries });
    },
    zoneLoads() {
      const now = clock.now();
      entrySums.dropBefore(now - maxLoadAgeMs);
      const {
        services, targets, failing, entries, oldestAt,
      } = entrySums.without(undefined, now);
      zoneSeq += 1;
      return {
        node, start, seq: zoneSeq, zone, entries, ageMs: now - oldestAt, services, targets, failing,
      };
    },
  };
}
