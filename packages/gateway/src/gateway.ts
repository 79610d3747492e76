/** The gateway: an entry that accepts callers' requests and sends them directly to targets. */
import type { ServerResponse } from 'node:http';
import { isDeepStrictEqual } from 'node:util';
import Emittery from 'emittery';
import type { Logger } from 'pino';
import {
  createRefusal, createServingConfigHolder, createTargetPauses, createTargetTable,
  errorFields, incarnationOf, sameRange, SystemClock,
  type Clock, type LapseGraceOptions, type RetryLimits, type ServingTarget,
} from '@verbenashunt/core';
import {
  createBodyReader, createExchanger, drain, acceptsConnection,
} from '@verbenashunt/wire';
import { createCallerHandler } from './http/caller-handler.js';
import {
  serveCallers, serveProbe, type Address, type CallerServer,
} from './http/server.js';
import { createAnswerSink } from './http/answer-sink.js';
import { createGatewayMetrics, type GatewayMetrics } from './metrics.js';
import { createPlacementController } from './placement/controller.js';
import type { PlatformPorts, StoredRow } from './ports.js';
import { createChainWatch } from './requests/chain-watch.js';
import { createCrashWatch } from './requests/crash-watch.js';
import { createTargetProgress } from './requests/progress.js';
import { createRequestLog } from './requests/request-log.js';
import { startRun } from './requests/run.js';
import { createServiceStates } from './requests/service-states.js';
import type { RequestRun, RequestSpec } from './requests/spec.js';
import { isTooLate, stopMarginMs, stoppingRetryMs } from './requests/stop-window.js';
import { createStallWatch } from './requests/stall-watch.js';
import { createLoadMonitor } from './routing/load-monitor.js';
import { createSelector } from './routing/selector.js';
import { createRelayedStore, maxRelayDelayMs } from './relay/relayed-store.js';
import { serveRelay } from './relay/relay-server.js';
import { createCrashTable } from './store/crash-table.js';
import { followTable } from './store/follow.js';
import { createLeaseKeeper } from './store/lease-keeper.js';
import { createTargetList } from './store/target-list.js';
import { createTargetExchanger } from './targets/target-exchanger.js';

export interface GatewayOptions {
  node: string;
  zone: string;
  /** Address on which callers are served. */
  front: Address;
  /** Address and path of the load balancer's health check. */
  readiness: Address & { path: string };
  metrics: Address | undefined;
  /** Address on which other entries follow the store through this one; undefined for none. */
  relay: Address | undefined;
  /** Processor capacity of the VM in cores. */
  cores: number;
  /** Shortest time in milliseconds within which a change in the store must take hold. */
  changeBoundMs: number;
  /** Time in milliseconds from the stop signal until the process is killed. */
  graceMs: number;
  retries: RetryLimits;
  lapseGrace: LapseGraceOptions;
}

export interface GatewayDeps {
  log: Logger;
  ports: PlatformPorts;
  metrics?: GatewayMetrics;
  clock?: Clock;
  random?: () => number;
}

export interface GatewayEvents {
  config: number;
}

export interface Gateway {
  readonly events: Emittery<GatewayEvents>;
  /** Ports on which it listens for callers and for the load balancer's health check. */
  readonly ports: { front: number; readiness: number };
  /** Applies the settings that can change at run time; logs whether others need a restart. */
  apply(next: GatewayOptions): void;
  /**
   * Stops after the requests in flight have ended or the grace time is over; resolves to whether
   * all ended. An abort of `signal` interrupts them earlier.
   */
  stop(signal?: AbortSignal): Promise<boolean>;
}

/**
 * Timeout in milliseconds for a connection to a target; a round trip within a region takes a few
 * milliseconds.
 */
const connectTimeoutMs = 300;
/** Idle time in milliseconds after which a connection to a target is not reused. */
const idleReuseMs = 500;
/** Idle time in milliseconds after which a connection to a relay is not reused. */
const relayKeepAliveMs = 4000;
/** Maximum total size in bytes of callers' bodies that are being received. */
const maxBufferedBytes = 64 * 1024 * 1024;
/**
 * Minimum duration of a stop in milliseconds: time for two failed health checks of the load
 * balancer, which checks once a second.
 */
const stopNoticeMs = 2200;
/** Time in milliseconds by which a target's report may be older than its row, network included. */
const reportLagMs = 1000;
/** Timeout in milliseconds of the connection attempt that checks whether a target is dead. */
const reachabilityTimeoutMs = 50;
/** Time in milliseconds in which a change that has arrived takes hold, on a busy VM. */
const applyMarginMs = 300;
/** Timeout in milliseconds for the release of the lease; the end of the grace time must hold it. */
const releaseTimeoutMs = 200;

export async function createGateway(cfg: GatewayOptions, deps: GatewayDeps): Promise<Gateway> {
  const {
    ports, metrics = createGatewayMetrics(), clock = new SystemClock(), random = Math.random,
  } = deps;
  const log = deps.log.child({ node: cfg.node });
  const requestLog = createRequestLog({ log, clock });
  const { rows, callers } = ports;
  const events = new Emittery<GatewayEvents>();
  const readBody = createBodyReader({ maxBufferedBytes });
  const targets = createTargetTable();
  const pauses = createTargetPauses(clock);
  const exchanger = createTargetExchanger({
    log,
    exchanger: createExchanger({ connectTimeoutMs, keepAliveMs: idleReuseMs }),
    protocol: ports.targets,
    targets,
    pauses,
  });
  const runs = new Set<RequestRun>();
  const progress = createTargetProgress();
  let options = cfg;
  let stoppingAt: number | undefined;
  /** Undefined until the gateway listens. */
  let server: CallerServer | undefined;

  const config = createServingConfigHolder(({ config: { version, limits } }) => {
    metrics.config.set(version);
    log.info({ version }, 'configuration in force');
    server?.apply(limits);
    events.emit('config', version);
  });
  const relayServer = cfg.relay && await serveRelay(
    cfg.relay,
    // eslint-disable-next-line @typescript-eslint/no-use-before-define -- called after both exist
    (table) => store.logOf(table),
  );
  const lease = createLeaseKeeper({
    clock,
    random,
    log,
    store: ports.store,
    node: cfg.node,
    relay: cfg.relay && {
      address: `${cfg.relay.host}:${relayServer!.port}`, zone: cfg.zone, cores: cfg.cores,
    },
  });
  const relayExchanger = createExchanger({ connectTimeoutMs, keepAliveMs: relayKeepAliveMs });
  const store = createRelayedStore({
    clock,
    log,
    store: ports.store,
    exchanger: relayExchanger,
    node: cfg.node,
    zone: cfg.zone,
    isEnabled: () => options.changeBoundMs > maxRelayDelayMs + applyMarginMs,
    entries: lease.entries,
  });
  const followDeps = {
    clock, random, log, store,
  };
  const selector = createSelector({
    clock,
    random,
    zone: cfg.zone,
    targets,
    pauses,
    entryCount: lease.entryCount,
    // eslint-disable-next-line @typescript-eslint/no-use-before-define -- each refers to the other
    loadMonitor: () => loadMonitor,
  });
  /** Targets of all services that run on engines. */
  const engines = () => (config.view?.config.services ?? [])
    .flatMap(({ name, engine }) => (engine ? targets.ofService(name) : []));
  const loadMonitor = createLoadMonitor({
    clock,
    log,
    exchanger,
    protocol: ports.targets,
    pauses,
    ownTokens: selector.ownTokens,
    onHeldLayers(target, held) {
      // A report may be older than a row that has just changed.
      const known = targets.byId(target.id);
      if (!known || known.address !== target.address || sameRange(known.held, held)) return;
      // eslint-disable-next-line @typescript-eslint/no-use-before-define -- called after both exist
      if (clock.now() - targetList.changedAt(target.id) < reportLagMs) return;
      log.info({ target: target.id, held, was: known.held }, 'target holds other layers than listed');
      targets.setHeld(target.id, held);
    },
    engines: () => engines().filter(({ id, held, zone }) => lease.orderPermit() !== undefined
      || (held !== undefined && (zone === cfg.zone || selector.ownTokens(id) > 0))),
  });

  function markDead({ id }: ServingTarget) {
    selector.recordFailure(id);
    loadMonitor.markUnreachable(id);
  }

  /** Marks a target dead that another entry saw crash, unless it accepts a connection. */
  async function markDeadIfUnreachable(target: ServingTarget) {
    if (await acceptsConnection(target.address, reachabilityTimeoutMs)) return;
    markDead(target);
  }

  const crashTable = createCrashTable({
    ...followDeps,
    node: cfg.node,
    onCrash(incarnation) {
      const target = targets.all.find((other) => incarnationOf(other) === incarnation);
      if (target) markDeadIfUnreachable(target);
    },
  });
  const crashes = createCrashWatch({
    log, exchanger, protocol: ports.targets, crashTable,
  });
  const stalls = createStallWatch({
    clock, log, exchanger, protocol: ports.targets, pauses,
  });

  /** Decodes a row; logs a row that is invalid and returns undefined. */
  function tryDecode<T>(row: StoredRow, decode: (row: StoredRow) => T | undefined): T | undefined {
    try {
      return decode(row);
    } catch (err) {
      log.warn({ key: row.key, ...errorFields(err) }, 'row not understood');
      return undefined;
    }
  }

  const targetList = createTargetList({
    clock,
    log,
    targets,
    graceOptions: cfg.lapseGrace,
    isReachable: ({ address }) => acceptsConnection(address, reachabilityTimeoutMs),
    decode: (row) => tryDecode(row, rows.decodeTarget),
  });

  const offerConfig = (changed: readonly StoredRow[]) => changed
    .flatMap((row) => tryDecode(row, rows.decodeConfig) ?? [])
    .forEach((next) => config.offer(next));
  const followers = [
    followTable({
      table: rows.configTable,
      onStoreRestored: lease.storeRestored,
      onRows: offerConfig,
      onChanges: offerConfig,
    }, followDeps),
    followTable({ table: rows.targetTable, ...targetList }, followDeps),
  ];

  const controller = createPlacementController({
    clock,
    log,
    config,
    targets,
    lease,
    exchanger,
    protocol: ports.targets,
    pauses,
    isDead: loadMonitor.isDead,
    // A target that refuses requests only because its memory is full keeps its layers.
    isFailing: (id) => selector.health.isFailing(id) && !loadMonitor.mayBeFull(id),
  });

  const chains = createChainWatch({
    clock,
    log,
    acceptsConnection,
    onDead(target) {
      markDead(target);
      crashTable.recordCrash({ target: incarnationOf(target), fingerprints: [] });
    },
  });

  const serviceStateOf = createServiceStates({
    clock, limits: () => options.retries, entries: lease.entryCount,
  });

  function run(spec: RequestSpec, res: ServerResponse) {
    const sink = createAnswerSink(res, callers, spec.caller.id);
    const requestRun = startRun(spec, sink, {
      clock,
      random,
      log: requestLog,
      selector,
      stallWatch: stalls,
      chainWatch: chains,
      crashWatch: crashes,
      progress,
      exchanger,
      protocol: ports.targets,
      ...serviceStateOf(spec.service.name),
      ...metrics.ofRequest(spec),
    });
    runs.add(requestRun);
    res.once('close', () => {
      runs.delete(requestRun);
      requestRun.cancel();
    });
  }

  /** Tells callers to retry soon if another entry serves, else when the first one is back. */
  const stoppingRefusal = () => createRefusal('stopping', {
    retryAfterMs: stoppingRetryMs(lease.nextEntryMs(), options.graceMs, random()),
  });

  const isStopTooNear = (spec: Omit<RequestSpec, 'body'>) => stoppingAt !== undefined
    && isTooLate(spec, { startedAt: stoppingAt, graceMs: options.graceMs });

  const handle = createCallerHandler({
    clock,
    random,
    log: requestLog,
    metrics,
    callers,
    readBody,
    view: () => config.view,
    isStopping: () => stoppingAt !== undefined,
    refusalWhileStopping: (spec) => (isStopTooNear(spec) ? stoppingRefusal() : undefined),
    isPoison: crashes.isPoison,
    run,
  });

  const isReady = () => config.view !== undefined && stoppingAt === undefined;
  server = await serveCallers(cfg.front, handle);
  if (config.view) server.apply(config.view.config.limits);
  const probes = [await serveProbe(cfg.readiness, {
    path: cfg.readiness.path,
    answer: async () => ({ status: isReady() ? 200 : 503, type: 'text/plain', body: '' }),
  })];
  if (cfg.metrics) {
    probes.push(await serveProbe(cfg.metrics, {
      path: '/metrics',
      async answer() {
        config.view?.config.services.forEach(({ name }) => metrics.targets
          .set({ service: name }, targets.ofService(name).length));
        return {
          status: 200, type: metrics.registry.contentType, body: await metrics.registry.metrics(),
        };
      },
    }));
  }
  log.info({ zone: cfg.zone, front: cfg.front }, 'gateway started');

  return {
    events,
    ports: { front: server.port, readiness: probes[0]!.port },
    apply(next) {
      const changeable = ({ graceMs, retries, changeBoundMs }: GatewayOptions) => ({
        graceMs, retries, changeBoundMs,
      });
      const needsRestart = !isDeepStrictEqual({ ...next, ...changeable(options) }, options);
      options = { ...options, ...changeable(next) };
      log.info({ ...changeable(next), needsRestart }, 'settings read again');
    },
    async stop(signal) {
      stoppingAt = clock.now();
      log.info({ inFlight: runs.size }, 'stopping');
      lease.announceStop(options.graceMs);
      const isComplete = await drain({
        clock,
        minWaitMs: stopNoticeMs,
        timeoutMs: options.graceMs - stopMarginMs,
        signal,
        isIdle: () => server?.active === 0,
      });
      [...runs].forEach((started) => started.interrupt());
      // Placement goes on until here, since no other entry can take over before the release.
      controller.close();
      await Promise.race([lease.release(), new Promise((resolve) => {
        clock.after(releaseTimeoutMs, () => resolve(undefined));
      })]);
      followers.forEach((follower) => follower.close());
      targetList.close();
      crashTable.close();
      probes.forEach((probe) => probe.close());
      relayServer?.close();
      relayExchanger.close();
      server?.destroy();
      requestLog.close();
      stalls.close();
      chains.close();
      loadMonitor.close();
      exchanger.close();
      store.close();
      log.info({ whole: isComplete }, 'stopped');
      return isComplete;
    },
  };
}
