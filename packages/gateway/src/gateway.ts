/** The gateway: an entry that accepts callers' requests and sends them directly to targets. */
import type { ServerResponse } from 'node:http';
import { isDeepStrictEqual } from 'node:util';
import Emittery from 'emittery';
import type { Logger } from 'pino';
import {
  createServingConfigHolder, SystemClock,
  type Clock, type RetryLimits,
} from '@verbenashunt/core';
import { createBodyReader, createRequestMemory, drain } from '@verbenashunt/wire';
import { createCallerHandler } from './http/caller-handler.js';
import {
  serveCallers, serveProbe, type Address, type CallerServer,
} from './http/server.js';
import { createAnswerSink } from './http/answer-sink.js';
import { createLoadSharing, mayHavePredecessor, type LoadSharing } from './load/load-sharing.js';
import { createGatewayMetrics, type GatewayMetrics } from './metrics.js';
import { createMetricsPage } from './metrics-page.js';
import { createPlacementController } from './placement/controller.js';
import type { PlatformPorts } from './ports.js';
import { createTargetProgress } from './requests/progress.js';
import { createRequestLog } from './requests/request-log.js';
import { startRun } from './requests/run.js';
import { createServiceStates } from './requests/service-states.js';
import type { RequestRun, RequestSpec } from './requests/spec.js';
import type { StartQueueLimits } from './requests/start-queue.js';
import { acceptMsAtStop, stopMarginMs } from './requests/stop-window.js';
import { createStopping } from './requests/stopping.js';
import { createStreamDurations } from './requests/stream-durations.js';
import { createConfigRows } from './store/config-rows.js';
import { followTable } from './store/follow.js';
import { createRowDecoder } from './store/row-decoder.js';
import { createStoreAccess, type StoreAccessOptions } from './store/store-access.js';
import { createTargetTracking, type TargetTrackingOptions } from './targets/target-tracking.js';
import { measureTurns } from './turns/long-turns.js';
import { createMeteredClock } from './turns/metered.js';

export interface GatewayOptions extends StoreAccessOptions, TargetTrackingOptions {
  /** Address on which callers are served. */
  front: Address;
  /** Address and path of the load balancer's health check. */
  readiness: Address & { path: string };
  metrics: Address | undefined;
  /** Shortest time in milliseconds within which a change in the store must take hold. */
  changeBoundMs: number;
  /** Time in milliseconds from the stop signal until the process is killed. */
  graceMs: number;
  retries: RetryLimits;
  /** Limit on the memory in bytes of all requests that are being received or wait for answers. */
  maxBufferedBytes: number;
  /** Limits of the queue of each service. */
  queue: StartQueueLimits;
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
 * Minimum duration of a stop in milliseconds: time for two failed health checks of the load
 * balancer, which checks once a second.
 */
const stopNoticeMs = 2200;
/**
 * Longest time in milliseconds for which an entry with a configuration waits, before it serves, for
 * the other entries' records of requests that crash targets, and for the changes since its reads.
 */
const maxFirstReadMs = 1000;
/** Timeout in milliseconds for the release of the lease; the end of the grace time must hold it. */
const releaseTimeoutMs = 200;
/**
 * Time in milliseconds for which connections stay open after the last one was accepted, as the
 * request of that one may not have been read yet.
 */
const lastRequestsMs = 100;
/** Time limit in milliseconds of the answers to requests on the last accepted connections. */
const lastAnswersMs = 250;

export async function createGateway(cfg: GatewayOptions, deps: GatewayDeps): Promise<Gateway> {
  const {
    ports, metrics = createGatewayMetrics(), random = Math.random,
  } = deps;
  const meter = measureTurns(metrics);
  const clock = createMeteredClock(deps.clock ?? new SystemClock(), meter);
  const log = deps.log.child({ node: cfg.node });
  const requestLog = createRequestLog({ log, clock });
  const { rows, callers } = ports;
  const events = new Emittery<GatewayEvents>();
  const memory = createRequestMemory(cfg);
  const runs = new Set<RequestRun>();
  const progress = createTargetProgress();
  const durations = createStreamDurations();
  let options = cfg;
  /** When the first configuration arrived; Infinity before. */
  let configuredAt = Infinity;
  /** Undefined until the gateway listens. */
  let server: CallerServer | undefined;

  /** Undefined while the gateway starts, and without an address for other entries. */
  let loadSharing: LoadSharing | undefined;

  const config = createServingConfigHolder(({ config: { version, limits } }) => {
    configuredAt = Math.min(configuredAt, clock.now());
    metrics.config.set(version);
    server?.apply(limits);
    events.emit('config', version);
  });
  const {
    lease, store, announcements, entryExchanger, close: closeStore,
  } = await createStoreAccess(cfg, {
    clock,
    random,
    log,
    store: ports.store,
    changeBoundMs: () => options.changeBoundMs,
    newestOnlyTables: [rows.configTable],
    // eslint-disable-next-line @typescript-eslint/no-use-before-define -- each refers to the other
    takeToken: (...args) => tracking.rateLimiter.takeForOther(...args),
    loadReceiver: () => loadSharing,
  });

  const rowDecoderDeps = { log, rowNotUnderstood: metrics.rowNotUnderstood };
  const tracking = createTargetTracking(cfg, {
    clock,
    random,
    log,
    store,
    announcements,
    entryExchanger,
    lease,
    config,
    protocol: ports.targets,
    meter,
    decodeTarget: createRowDecoder(rows.targetTable, rows.decodeTarget, rowDecoderDeps),
    otherLoads: () => loadSharing?.member,
    crashSeen: metrics.crashSeen,
  });
  const { selector, loadMonitor } = tracking;

  const configRows = createConfigRows({
    clock,
    log,
    config,
    decode: createRowDecoder(rows.configTable, rows.decodeConfig, rowDecoderDeps),
  });
  const followDeps = {
    clock, random, log, store, meter,
  };
  const followers = [
    followTable({
      table: rows.configTable,
      onStoreRecovered: lease.storeReturned,
      onStoreRestored: lease.storeReturned,
      ...configRows,
    }, followDeps),
    followTable({ table: rows.targetTable, ...tracking.targetList }, followDeps),
  ];

  const controller = createPlacementController({
    clock,
    log,
    config,
    lease,
    protocol: ports.targets,
    ...tracking,
    isDead: loadMonitor.isDead,
    // A target that refuses requests only because its memory is full keeps its layers.
    isFailing: (id) => selector.health.isFailing(id) && !loadMonitor.mayBeFull(id),
  });

  const startedAt = clock.now();
  const isLending = () => cfg.relay !== undefined && (options.retries.lentShare ?? 0) > 0;
  const isNew = () => isLending() && lease.entryCount() > 1 && mayHavePredecessor({
    hadRow: lease.hadRow(), ageMs: clock.now() - startedAt,
  }, options.retries.windowMs);
  const serviceStates = createServiceStates({
    clock,
    limits: () => options.retries,
    // An entry that lends retries uses no part of the budget before it knows the others.
    entries: () => (isLending() && lease.entries().length === 0 ? Infinity : lease.entryCount()),
    isNew,
    onRetry: () => loadSharing?.pressed(),
    queue: cfg.queue,
  });
  if (cfg.relay) {
    loadSharing = createLoadSharing(cfg, {
      clock,
      random,
      log,
      exchanger: entryExchanger,
      metrics: metrics.loads,
      entries: lease.entries,
      windowMs: () => options.retries.windowMs,
      isLending,
      retries: () => (config.view?.config.services ?? [])
        .map(({ name }) => [name, serviceStates.of(name).retries] as const),
      targets: selector.inFlight,
      failing: selector.failing,
    });
  }

  const stopping = createStopping({
    clock, random, durations, graceMs: () => options.graceMs, nextEntryMs: lease.nextEntryMs,
  });

  function run(spec: RequestSpec, res: ServerResponse) {
    const sink = createAnswerSink(res, callers, spec.caller.id);
    const account = memory.of(res.req);
    const requestMetrics = metrics.ofRequest(spec);
    const requestRun = startRun(spec, sink, {
      clock,
      random,
      log: requestLog,
      progress,
      durations,
      protocol: ports.targets,
      ...tracking,
      ...serviceStates.of(spec.service.name),
      isStopping: () => stopping.isStopping,
      isTooLateToSend: stopping.isTooLateToSend,
      stoppingRetryMs: stopping.retryMs,
      requestSent: () => account?.keep(),
      ...requestMetrics,
      attemptFailed(end) {
        requestMetrics.attemptFailed(end);
        // Loads are then sent sooner, so that other entries avoid failing targets early.
        loadSharing?.pressed();
      },
    });
    account?.onGiveWay(requestRun.refuseIfUnsent);
    runs.add(requestRun);
    res.once('close', () => {
      runs.delete(requestRun);
      requestRun.cancel();
    });
  }

  const hasReadAll = () => tracking.crashTable.isRead
    && followers.every(({ isConfirmed }) => isConfirmed);
  const mayServe = () => config.view !== undefined
    && (hasReadAll() || clock.now() - configuredAt > maxFirstReadMs);

  const { handle, refuseIncomplete } = createCallerHandler({
    clock,
    random,
    log: requestLog,
    metrics,
    callers,
    readBody: createBodyReader(memory),
    hasGivenWay: (req) => memory.of(req)?.hasGivenWay ?? false,
    view: () => (mayServe() ? config.view : undefined),
    isStopping: () => stopping.isStopping,
    refusalWhileStopping: stopping.refusalOf,
    findPoison: tracking.crashWatch.findPoison,
    run: (...args) => meter.run('request', () => run(...args)),
  });

  const releaseLease = () => Promise.race([lease.release(), new Promise<void>((resolve) => {
    clock.after(releaseTimeoutMs, resolve);
  })]);

  const isReady = () => mayServe() && !stopping.isStopping;
  server = await serveCallers(cfg.front, { memory, handle });
  if (config.view) server.apply(config.view.config.limits);
  const probes = [await serveProbe(cfg.readiness, {
    path: cfg.readiness.path,
    answer: async () => ({ status: isReady() ? 200 : 503, type: 'text/plain', body: '' }),
  })];
  if (cfg.metrics) {
    const answer = createMetricsPage({
      metrics,
      config,
      configAgeMs: () => store.ageMs(rows.configTable),
      serviceStates,
      tracking,
      loadSharing,
    });
    probes.push(await serveProbe(cfg.metrics, { path: '/metrics', answer }));
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
      const { startedAt: stoppingAt, graceMs } = stopping.start(() => {
        [...runs].forEach((waiting) => waiting.refuseIfTooLate());
        refuseIncomplete();
      });
      refuseIncomplete();
      log.info({ inFlight: runs.size }, 'stopping');
      lease.announceStop(graceMs);
      const isComplete = await drain({
        clock,
        minWaitMs: stopNoticeMs,
        timeoutMs: graceMs - stopMarginMs,
        signal,
        isIdle: () => server?.active === 0,
      });
      stopping.close();
      [...runs].forEach((started) => started.interrupt());
      await server?.close(acceptMsAtStop(stoppingAt, clock.now(), graceMs));
      // Placement goes on until here, since no other entry can take over before the release.
      controller.close();
      await Promise.all([releaseLease(), drain({
        clock,
        minWaitMs: lastRequestsMs,
        timeoutMs: lastAnswersMs,
        signal,
        isIdle: () => server?.active === 0,
      })]);
      followers.forEach((follower) => follower.close());
      probes.forEach((probe) => probe.close());
      server?.destroy();
      requestLog.close();
      loadSharing?.close();
      tracking.close();
      closeStore();
      meter.close();
      log.info({ whole: isComplete }, 'stopped');
      return isComplete;
    },
  };
}
