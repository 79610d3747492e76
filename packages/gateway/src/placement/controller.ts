/**
 * Assigns layers to engines while this entry may send orders: plans ranges, sends orders to load
 * them, and checks that they take effect.
 */
import type { Logger } from 'pino';
import {
  errorFields, planLayers, sameRange, toLayerHost,
  type CancelTimer, type Clock, type EngineModel, type LayerHost, type LayerRange,
  type PlacedRange, type ServingConfigHolder, type ServingTarget, type TargetPauses,
  type TargetRateLimits, type TargetTable,
} from '@verbenashunt/core';
import { exchangeOnce } from '@verbenashunt/wire';
import { requestReport, type ReportDeps } from '../routing/report.js';
import type { LeaseKeeper } from '../store/lease-keeper.js';

export interface ControllerDeps extends ReportDeps {
  clock: Clock;
  log: Logger;
  config: ServingConfigHolder;
  targets: TargetTable;
  lease: Pick<LeaseKeeper, 'orderPermit' | 'onFenced'>;
  pauses: Pick<TargetPauses, 'isPaused'>;
  rateLimits: Pick<TargetRateLimits, 'heldMs' | 'limitOf'>;
  /** Whether the target counts as dead, so that plans leave it out. */
  isDead(id: string): boolean;
  /** Whether requests keep failing at the target, as at one that stops without notice. */
  isFailing(id: string): boolean;
}

export interface PlacementController {
  close(): void;
}

/** Interval between runs of the controller in milliseconds. */
const tickMs = 200;
/** Time in milliseconds for which the hosts must be unchanged before layers are first placed. */
const stableBeforePlanMs = 800;
/**
 * Time in milliseconds for which the hosts must be unchanged before a host may drop layers. By then
 * the streams through a broken chain have ended, and dropping layers doesn't wait for them.
 */
const stableBeforeMoveMs = 3000;
/** Timeout in milliseconds of a report request or an order. */
const targetTimeoutMs = 600;
/** Time in milliseconds beyond the load time after which an order without effect is given up. */
const orderSlackMs = 3000;

interface PendingOrder extends LayerRange {
  /** Time on the entry's clock by which the order should have taken effect. */
  until: number;
}

export function createPlacementController(deps: ControllerDeps): PlacementController {
  const {
    clock, log, config, targets, lease, exchanger, protocol,
  } = deps;
  const pending = new Map<string, PendingOrder>();
  /** Planned ranges whose orders have not been sent yet, by target id. */
  const queued = new Map<string, PlacedRange>();
  /** Ids of targets with a call in progress. */
  const activeCalls = new Set<string>();
  let hostIds = '';
  let hostsChangedAt = clock.now();
  let isClosed = false;
  let cancel: CancelTimer = () => {};

  async function sendOrder(target: ServingTarget, range: PlacedRange, engine: EngineModel) {
    const token = lease.orderPermit()?.token;
    if (token === undefined) return;
    const { busy, orders, held } = await requestReport(deps, target, targetTimeoutMs);
    if (sameRange(held, range)) {
      queued.delete(target.id);
      targets.setHeld(target.id, held);
      return;
    }
    if (busy) return;
    // The process may have been frozen meanwhile, so that another entry holds the lease by now.
    if (isClosed || lease.orderPermit()?.token !== token) return;
    queued.delete(target.id);
    const order = protocol.placeRequest(target, {
      lo: range.lo, hi: range.hi, fencingToken: token, expectedOrders: orders,
    });
    // A late copy of an earlier answer would be taken for the result, as it names no order.
    const { status } = await exchangeOnce(
      exchanger.to(target),
      target.address,
      order,
      targetTimeoutMs,
      { dedicatedConnection: true },
    );
    const result = protocol.orderResult(status);
    log.info({
      target: target.id, lo: range.lo, hi: range.hi, token, result, was: target.held,
    }, 'order given');
    if (result === 'fenced') lease.onFenced(token);
    if (result !== 'begun' && result !== 'done') return;
    const loadMs = ((range.hi - range.lo) / engine.layers) * engine.loadS * 1000;
    pending.set(target.id, {
      lo: range.lo, hi: range.hi, until: clock.now() + loadMs + orderSlackMs,
    });
  }

  /** Checks whether a target holds the ordered range, and forgets the order if it is overdue. */
  async function checkOrder(target: ServingTarget, expected: PendingOrder) {
    const { busy, held } = await requestReport(deps, target, targetTimeoutMs);
    if (sameRange(held, expected)) {
      pending.delete(target.id);
      targets.setHeld(target.id, held);
    } else if (!busy && clock.now() > expected.until) pending.delete(target.id);
  }

  /** Whether a call to a target of a service may start: none is in progress, and it takes one. */
  function mayCall(service: string, id: string): boolean {
    const target = targets.byId(id);
    return target?.service === service && !activeCalls.has(id) && !deps.pauses.isPaused(target)
      && deps.rateLimits.heldMs(target) === 0;
  }

  /** Starts a call to a target unless it must wait. */
  function call(target: ServingTarget, run: () => Promise<void>) {
    if (!mayCall(target.service, target.id)) return;
    activeCalls.add(target.id);
    run().catch((err) => {
      log.info({ target: target.id, ...errorFields(err) }, 'order not settled');
      if ((pending.get(target.id)?.until ?? 0) < clock.now()) pending.delete(target.id);
    }).finally(() => activeCalls.delete(target.id));
  }

  const isLimited = (target: ServingTarget) => deps.rateLimits.limitOf(target) !== undefined;

  function hostsOf(service: string, engine: EngineModel): LayerHost[] {
    return targets.ofService(service)
      .filter(({ draining, id }) => !draining && !deps.isDead(id) && !deps.isFailing(id))
      .flatMap((target) => toLayerHost(engine, target, isLimited(target)) ?? [])
      .map((host) => {
        const { id, held } = host;
        return { ...host, held: queued.get(id) ?? pending.get(id) ?? held };
      });
  }

  function isReadyToPlan(hosts: readonly LayerHost[]): boolean {
    const next = hosts.map(({ id }) => id).sort().join();
    if (next !== hostIds) {
      hostIds = next;
      hostsChangedAt = clock.now();
    }
    return hosts.some(({ held }) => held !== undefined)
      || clock.now() - hostsChangedAt >= stableBeforePlanMs;
  }

  /**
   * Number of orders within their time. Overdue ones, which may be waiting for running streams to
   * end, don't keep other targets from loading.
   */
  const countLoading = () => [...pending.values()]
    .filter(({ until }) => until > clock.now()).length;

  function placeLayers(service: string, engine: EngineModel) {
    const hosts = hostsOf(service, engine);
    if (hosts.length === 0 || !isReadyToPlan(hosts)) return;
    const isHolderUnknown = lease.orderPermit()?.isHolderUnknown ?? true;
    const isUncertain = isHolderUnknown
      || targets.ofService(service).some(({ id }) => deps.isFailing(id));
    const isStable = clock.now() - hostsChangedAt >= stableBeforeMoveMs
      && pending.size + queued.size === 0;
    // While the holder of the lease is unknown, two entries could each move a replica of the same
    // range and leave none.
    planLayers(engine, hosts, {
      mayMove: isStable && !isUncertain,
      mayMoveReplicas: !isHolderUnknown,
    })
      .forEach((range) => queued.set(range.id, range));
    [...queued.values()]
      .filter(({ id }) => mayCall(service, id))
      .slice(0, Math.max(0, engine.loadsAtOnce - countLoading() - activeCalls.size))
      .forEach((range) => {
        call(targets.byId(range.id)!, () => sendOrder(targets.byId(range.id)!, range, engine));
      });
  }

  function tick() {
    if (isClosed) return;
    cancel = clock.after(tickMs, tick);
    const { view } = config;
    if (!view || !lease.orderPermit()) {
      queued.clear();
      return;
    }
    const isUnusable = (id: string) => (targets.byId(id)?.draining ?? true) || deps.isDead(id);
    [...queued.keys()].filter(isUnusable).forEach((id) => queued.delete(id));
    pending.forEach((expected, id) => {
      const target = targets.byId(id);
      if (!target || target.draining) pending.delete(id);
      else if (sameRange(target.held, expected)) pending.delete(id);
      else call(target, () => checkOrder(target, expected));
    });
    view.config.services.forEach(({ name, engine }) => {
      if (engine) placeLayers(name, engine);
    });
  }
  tick();

  return {
    close() {
      isClosed = true;
      cancel();
    },
  };
}
