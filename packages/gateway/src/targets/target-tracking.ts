/**
 * What an entry knows of its targets and how it chooses among them: their list, their reports, the
 * failures that requests met, and crashes that other entries recorded.
 */
import type { Logger } from 'pino';
import {
  createTargetBuckets, createTargetPauses, createTargetRateLimits, createTargetTable,
  incarnationOf, sameRange,
  type Clock, type HeldRange, type LapseGraceOptions, type ServingConfigHolder,
  type ServingTarget, type TargetPauses, type TargetRateLimits, type TargetTable,
} from '@verbenashunt/core';
import { acceptsConnection, createExchanger, type Exchanger } from '@verbenashunt/wire';
import type { RowStore, StoredRow, TargetProtocol } from '../ports.js';
import type { OtherLoads } from '../load/load-member.js';
import type { Announcements } from '../relay/announcements.js';
import { createChainWatch, type ChainWatch } from '../requests/chain-watch.js';
import { createCrashWatch, type CrashWatch } from '../requests/crash-watch.js';
import { createStallWatch, type StallWatch } from '../requests/stall-watch.js';
import { createLoadMonitor, type LoadMonitor } from '../routing/load-monitor.js';
import { createSelector, type Selector } from '../routing/selector.js';
import { createCrashTable, type CrashTable } from '../store/crash-table.js';
import type { LeaseKeeper } from '../store/lease-keeper.js';
import { createTargetList, type TargetList } from '../store/target-list.js';
import { createRateLimiter, type RateLimiter } from './rate-limiter.js';
import { createMeteredExchanger } from '../turns/metered.js';
import type { TurnMeter } from '../turns/turn-meter.js';
import { createTargetExchanger, type TargetExchanger } from './target-exchanger.js';

export interface TargetTrackingOptions {
  node: string;
  zone: string;
  lapseGrace: LapseGraceOptions;
}

export interface TargetTrackingDeps {
  clock: Clock;
  random: () => number;
  log: Logger;
  store: RowStore;
  announcements: Announcements;
  /** For calls to other entries. */
  entryExchanger: Exchanger;
  lease: LeaseKeeper;
  config: ServingConfigHolder;
  protocol: TargetProtocol;
  meter: TurnMeter;
  /** Returns undefined for a row that names no usable target. */
  decodeTarget(row: StoredRow): ServingTarget | undefined;
  /** Loads of the other entries; undefined if entries exchange none. */
  otherLoads(): OtherLoads | undefined;
  /** Counts a crash of a target that this entry saw, or read of in the row of another one. */
  crashSeen(by: 'self' | 'other'): void;
}

export interface TargetTracking {
  targets: TargetTable;
  pauses: TargetPauses;
  rateLimits: TargetRateLimits;
  rateLimiter: RateLimiter;
  /** For all requests to targets. */
  exchanger: TargetExchanger;
  /** Whether a target accepts a connection. */
  isReachable(target: ServingTarget): Promise<boolean>;
  selector: Selector;
  loadMonitor: LoadMonitor;
  /** Applies the rows of the table of targets. */
  targetList: TargetList;
  chainWatch: ChainWatch;
  crashWatch: CrashWatch;
  crashTable: CrashTable;
  stallWatch: StallWatch;
  close(): void;
}

/**
 * Timeout in milliseconds for a connection to a target; a round trip within a region takes a few
 * milliseconds.
 */
const connectTimeoutMs = 300;
/** Idle time in milliseconds after which a connection to a target is not reused. */
const idleReuseMs = 500;
/** Time in milliseconds by which a target's report may be older than its row, network included. */
const reportLagMs = 1000;
/** Timeout in milliseconds of the connection attempt that checks whether a target is dead. */
const reachabilityTimeoutMs = 50;

export function createTargetTracking(
  { node, zone, lapseGrace }: TargetTrackingOptions,
  deps: TargetTrackingDeps,
): TargetTracking {
  const {
    clock, random, log, store, announcements, lease, config, protocol, meter,
  } = deps;
  const targets = createTargetTable();
  const pauses = createTargetPauses(clock);
  const rateLimits = createTargetRateLimits(clock);
  const rateLimiter = createRateLimiter({
    clock,
    log,
    exchanger: deps.entryExchanger,
    buckets: createTargetBuckets(clock),
    node,
    entries: lease.entries,
  });
  const exchanger = createTargetExchanger({
    log,
    exchanger: createMeteredExchanger(
      createExchanger({ connectTimeoutMs, keepAliveMs: idleReuseMs }),
      meter,
      'target',
    ),
    protocol,
    targets,
    pauses,
    rateLimits,
    rateLimiter,
  });
  const isReachable = ({ address }: ServingTarget) => acceptsConnection(
    address,
    reachabilityTimeoutMs,
  );
  const targetList = createTargetList({
    clock, log, targets, graceOptions: lapseGrace, isReachable, decode: deps.decodeTarget,
  });
  const plainSelector = createSelector({
    clock,
    random,
    zone,
    targets,
    pauses,
    rateLimits,
    entryCount: lease.entryCount,
    otherLoads: deps.otherLoads,
    // eslint-disable-next-line @typescript-eslint/no-use-before-define -- each refers to the other
    loadMonitor: () => loadMonitor,
  });
  const selector: Selector = {
    ...plainSelector,
    choose: (...args) => meter.run('choice of targets', () => plainSelector.choose(...args)),
  };

  /** Targets of all services that run on engines. */
  const engines = () => (config.view?.config.services ?? [])
    .flatMap(({ name, engine }) => (engine ? targets.ofService(name) : []));

  /** Whether this entry needs the reports of an engine. */
  const isPolled = ({ id, held, zone: targetZone }: ServingTarget) => (
    lease.orderPermit() !== undefined
    || (held !== undefined && (targetZone === zone || selector.ownTokens(id) > 0)));

  /** Takes over the layers that a target reports, unless its row has just changed. */
  function onHeldLayers(target: ServingTarget, held: HeldRange | undefined) {
    const known = targets.byId(target.id);
    if (!known || known.address !== target.address || sameRange(known.held, held)) return;
    if (clock.now() - targetList.changedAt(target.id) < reportLagMs) return;
    log.info({ target: target.id, held, was: known.held }, 'target holds other layers than listed');
    targets.setHeld(target.id, held);
  }

  const loadMonitor = createLoadMonitor({
    clock,
    log,
    exchanger,
    protocol,
    pauses,
    rateLimits,
    keeperCount: rateLimiter.keeperCount,
    ownTokens: selector.ownTokens,
    otherTokens: (id) => deps.otherLoads()?.tokensAt(id),
    onHeldLayers,
    engines: () => engines().filter(isPolled),
  });

  function markDead({ id }: ServingTarget) {
    selector.recordFailure(id);
    loadMonitor.markUnreachable(id);
  }

  /** Marks a target dead that another entry saw crash, unless it accepts a connection. */
  async function markDeadIfUnreachable(target: ServingTarget) {
    if (!await isReachable(target)) markDead(target);
  }

  const crashTable = createCrashTable({
    clock,
    random,
    log,
    store,
    meter,
    announcements,
    node,
    entryCount: lease.entryCount,
    storeTimeOf: lease.storeTimeOf,
    onCrash(incarnation) {
      deps.crashSeen('other');
      const target = targets.all.find((other) => incarnationOf(other) === incarnation);
      if (target) markDeadIfUnreachable(target);
    },
  });
  const chainWatch = createChainWatch({
    clock,
    log,
    acceptsConnection,
    onDead(target) {
      markDead(target);
      crashTable.recordCrash({
        target: incarnationOf(target), fingerprints: [], at: clock.now(), unbegun: [],
      });
    },
  });
  const stallWatch = createStallWatch({
    clock, log, exchanger, protocol, pauses,
  });

  return {
    targets,
    pauses,
    rateLimits,
    rateLimiter,
    exchanger,
    isReachable,
    selector,
    loadMonitor,
    targetList,
    chainWatch,
    crashWatch: createCrashWatch({
      clock, log, exchanger, protocol, crashTable, isReachable, crashSeen: deps.crashSeen,
    }),
    crashTable,
    stallWatch,
    close() {
      targetList.close();
      crashTable.close();
      stallWatch.close();
      chainWatch.close();
      loadMonitor.close();
      exchanger.close();
    },
  };
}
