/** Gives engines their layers while this entry holds the lease: plans, orders, follows up. */
import type { Logger } from 'pino';
import {
  errorFields, planLayers, sameRange, toLayerHost,
  type CancelTimer, type Clock, type EngineModel, type LayerHost, type LayerRange,
  type PlacedRange, type ServingConfigHolder, type ServingTarget, type TargetTable,
} from '@verbenashunt/core';
import { exchangeOnce } from '@verbenashunt/wire';
import { askReport, type ReportDeps } from '../routing/report.js';
import type { LeaseKeeper } from '../store/lease-keeper.js';

export interface ControllerDeps extends ReportDeps {
  clock: Clock;
  log: Logger;
  config: ServingConfigHolder;
  targets: TargetTable;
  lease: LeaseKeeper;
  /** The target has given no answer for long enough to plan without it. */
  isDead(id: string): boolean;
  /** Requests keep failing at the target, as they do at one that leaves unannounced. */
  isFailing(id: string): boolean;
}

export interface PlacementController {
  close(): void;
}

/** Time between looks at the placement in milliseconds. */
const tickMs = 200;
/** Time for which the list of targets must stand still before layers are first laid out. */
const settleMs = 800;
/**
 * Time for which the targets must stand still before layers are given up: by then the streams that
 * passed through a broken chain have ended, and giving up doesn't wait for them.
 */
const calmMs = 3000;
/** Time for a target to answer a report or an order in milliseconds. */
const callTimeoutMs = 600;
/** Time after which an order without effect is planned anew, beyond what loading takes. */
const orderSlackMs = 3000;

interface Pending extends LayerRange {
  /** Time by which the order should have taken effect. */
  until: number;
}

export function createPlacementController(deps: ControllerDeps): PlacementController {
  const {
    clock, log, config, targets, lease, exchanger, protocol,
  } = deps;
  const pending = new Map<string, Pending>();
  /** Ranges that are planned and wait for their turn, by target. */
  const queued = new Map<string, PlacedRange>();
  /** Targets with a call under way. */
  const calling = new Set<string>();
  let signature = '';
  let settledAt = clock.now();
  let isClosed = false;
  let cancel: CancelTimer = () => {};

  async function order(target: ServingTarget, range: PlacedRange, engine: EngineModel) {
    const token = lease.right()?.token;
    if (token === undefined) return;
    const { busy, orders, held } = await askReport(deps, target, callTimeoutMs);
    if (sameRange(held, range)) {
      queued.delete(target.id);
      targets.apply({ id: target.id, target: { ...target, held } });
      return;
    }
    if (busy) return;
    queued.delete(target.id);
    const { status } = await exchangeOnce(exchanger, target.address, protocol.placeRequest(target, {
      lo: range.lo, hi: range.hi, fencingToken: token, expectedOrders: orders,
    }), callTimeoutMs);
    const result = protocol.orderResult(status);
    log.info({
      target: target.id, lo: range.lo, hi: range.hi, token, result, was: target.held,
    }, 'order given');
    if (result === 'fenced') lease.fenced(token);
    if (result !== 'begun' && result !== 'done') return;
    const loadMs = ((range.hi - range.lo) / engine.layers) * engine.loadS * 1000;
    pending.set(target.id, {
      lo: range.lo, hi: range.hi, until: clock.now() + loadMs + orderSlackMs,
    });
  }

  /** Asks a target whether its order has taken effect. */
  async function followUp(target: ServingTarget, expected: Pending) {
    const { busy, held } = await askReport(deps, target, callTimeoutMs);
    if (sameRange(held, expected)) {
      pending.delete(target.id);
      targets.apply({ id: target.id, target: { ...target, held } });
    } else if (!busy && clock.now() > expected.until) pending.delete(target.id);
  }

  /** Runs a call to a target unless one is under way. */
  function call(target: ServingTarget, run: () => Promise<void>) {
    if (calling.has(target.id)) return;
    calling.add(target.id);
    run().catch((err) => {
      log.info({ target: target.id, ...errorFields(err) }, 'order not settled');
      if ((pending.get(target.id)?.until ?? 0) < clock.now()) pending.delete(target.id);
    }).finally(() => calling.delete(target.id));
  }

  function hostsOf(service: string, engine: EngineModel): LayerHost[] {
    return targets.ofService(service)
      .filter(({ draining, id }) => !draining && !deps.isDead(id) && !deps.isFailing(id))
      .flatMap((target) => toLayerHost(engine, target) ?? [])
      .map((host) => {
        const { id, held } = host;
        return { ...host, held: queued.get(id) ?? pending.get(id) ?? held };
      });
  }

  function settled(hosts: readonly LayerHost[]): boolean {
    const next = hosts.map(({ id }) => id).sort().join();
    if (next !== signature) {
      signature = next;
      settledAt = clock.now();
    }
    return hosts.some(({ held }) => held !== undefined)
      || clock.now() - settledAt >= settleMs;
  }

  /** Orders that should still be loading; one that waits for old streams holds up no others. */
  const loading = () => [...pending.values()].filter(({ until }) => until > clock.now()).length;

  function place(service: string, engine: EngineModel) {
    const hosts = hostsOf(service, engine);
    if (hosts.length === 0 || !settled(hosts)) return;
    const isOrphaned = lease.right()?.isOrphaned ?? true;
    const isDoubtful = isOrphaned
      || targets.ofService(service).some(({ id }) => deps.isFailing(id));
    const isCalm = clock.now() - settledAt >= calmMs && pending.size + queued.size === 0;
    // Two entries that each move a copy of one range could take away both.
    planLayers(engine, hosts, { mayMove: isCalm && !isDoubtful, mayMoveReplicas: !isOrphaned })
      .forEach((range) => queued.set(range.id, range));
    [...queued.values()]
      .filter(({ id }) => targets.byId(id)?.service === service && !calling.has(id))
      .slice(0, Math.max(0, engine.loadsAtOnce - loading() - calling.size))
      .forEach((range) => {
        call(targets.byId(range.id)!, () => order(targets.byId(range.id)!, range, engine));
      });
  }

  function tick() {
    if (isClosed) return;
    cancel = clock.after(tickMs, tick);
    const { view } = config;
    if (!view || !lease.right()) {
      queued.clear();
      return;
    }
    const isUnfit = (id: string) => (targets.byId(id)?.draining ?? true) || deps.isDead(id);
    [...queued.keys()].filter(isUnfit).forEach((id) => queued.delete(id));
    pending.forEach((expected, id) => {
      const target = targets.byId(id);
      if (!target || target.draining) pending.delete(id);
      else if (sameRange(target.held, expected)) pending.delete(id);
      else call(target, () => followUp(target, expected));
    });
    view.config.services.forEach(({ name, engine }) => {
      if (engine) place(name, engine);
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
