/**
 * Reconciles the models loaded by the engine with the configuration. It sends one order at a time
 * and reads the status of the engine before the next one, so a lost response and a restart are
 * handled in the same way.
 */
import {
  desiredLoads, nextOrder, PlatformError, TargetError, type Clock, type ConfigView,
} from '@verbenashunt/core';
import type { EngineOrder, LoadedModel } from '@verbenashunt/schema';
import type { PlatformClient } from '@verbenashunt/wire';
import { orderTimeoutMs, type EngineOrderClient } from './engine-order-client.js';
import { createLease, type Lease } from './lease.js';

const engineLeaseMs = 15_000;
const rolloutLeaseMs = 60_000;
/** Times that an order is sent without effect before its rollout is halted. */
const maxOrderAttempts = 3;
const bytesPerMegabyte = 1_000_000;

export type OrderEvent = 'ordered' | 'unanswered' | 'fenced' | 'waiting' | 'halted' | 'reconciled';

export interface ReconcilerDeps {
  clock: Clock;
  platform: Pick<PlatformClient, 'get' | 'transact'>;
  engine: EngineOrderClient;
  fleet: string;
  target: string;
  node: string;
  incarnation: number;
  view(): ConfigView | undefined;
  /** Downloads this many bytes from the weight store. Rejects with PlatformError. */
  fetchWeights(bytes: number): Promise<void>;
  onOrderEvent(event: OrderEvent): void;
}

export interface Reconciler {
  /** Sends at most one order. Does nothing while a step runs or after an order was fenced. */
  step(): Promise<void>;
}

export function createReconciler(deps: ReconcilerDeps): Reconciler {
  const { target, incarnation } = deps;
  const createNodeLease = (key: string, leaseMs: number) => createLease({
    platform: deps.platform, clock: deps.clock, key, holder: `${deps.node}/${incarnation}`, leaseMs,
  });
  const engineLease = createNodeLease(`engine/${target}`, engineLeaseMs);
  const rolloutLeases = new Map<string, Lease>();
  let isStepping = false;
  let isFenced = false;
  let lastOrder = { key: '', attempts: 0 };

  function rolloutLeaseFor(model: string): Lease {
    const lease = rolloutLeases.get(model) ?? createNodeLease(`rollout/${model}`, rolloutLeaseMs);
    rolloutLeases.set(model, lease);
    return lease;
  }

  const ignoresFencing = (view: ConfigView) => !view.fleetOf(deps.fleet)?.targets
    ?.find(({ name }) => name === target)?.checksFencing;

  function weightBytesOf(view: ConfigView, { model, lo, hi }: LoadedModel): number {
    const megabytes = view.modelOf(model)?.model.layerMegabytes ?? 0;
    return (hi - lo) * megabytes * bytesPerMegabyte;
  }

  /**
   * Sends the order. If the engine ignores fencing tokens, the engine lease must last until the
   * order can no longer take effect.
   */
  async function sendOrder(order: EngineOrder, view: ConfigView) {
    if (ignoresFencing(view) && !engineLease.isValid(orderTimeoutMs)) {
      deps.onOrderEvent('waiting');
      return;
    }
    const key = JSON.stringify(order);
    lastOrder = { key, attempts: lastOrder.key === key ? lastOrder.attempts + 1 : 1 };
    deps.onOrderEvent('ordered');
    isFenced = !await deps.engine.order(order);
    if (isFenced) deps.onOrderEvent('fenced');
  }

  /**
   * Acquires the rollout lease of the model, and before it the engine lease if the engine ignores
   * fencing tokens. False if one is held elsewhere or the rollout of the version was halted.
   */
  async function acquireLeases(
    view: ConfigView,
    { model, version }: LoadedModel,
  ): Promise<boolean> {
    if (ignoresFencing(view) && !await engineLease.acquire()) return false;
    const rolloutLease = rolloutLeaseFor(model);
    return await rolloutLease.acquire() && rolloutLease.halted !== version;
  }

  async function executeOrder(order: EngineOrder, view: ConfigView) {
    const loadOrder = order as EngineOrder & LoadedModel;
    if (!await acquireLeases(view, loadOrder)) {
      deps.onOrderEvent('waiting');
      return;
    }
    if (lastOrder.key === JSON.stringify(order) && lastOrder.attempts >= maxOrderAttempts) {
      await rolloutLeaseFor(loadOrder.model).release(loadOrder.version);
      deps.onOrderEvent('halted');
      return;
    }
    await deps.fetchWeights(weightBytesOf(view, loadOrder));
    if (await acquireLeases(view, loadOrder)) await sendOrder(order, view);
    else deps.onOrderEvent('waiting');
  }

  async function reconcile(view: ConfigView) {
    const { loaded } = await deps.engine.status();
    const desired = desiredLoads(view, deps.fleet, target, loaded);
    const order = nextOrder(desired, loaded, incarnation);
    if (order) {
      await executeOrder(order, view);
      return;
    }
    if (lastOrder.attempts === 0) return;
    lastOrder = { key: '', attempts: 0 };
    deps.onOrderEvent('reconciled');
    await Promise.all([...rolloutLeases.values()].map((lease) => lease.release()));
  }

  return {
    async step() {
      const view = deps.view();
      if (isStepping || isFenced || !view) return;
      isStepping = true;
      try {
        await reconcile(view);
      } catch (err) {
        if (!(err instanceof TargetError) && !(err instanceof PlatformError)) throw err;
        deps.onOrderEvent('unanswered');
      } finally {
        isStepping = false;
      }
    },
  };
}
