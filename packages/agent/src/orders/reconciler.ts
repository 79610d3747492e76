/**
 * Brings the engine beside this agent to what the configuration wants. One order at a time: the
 * state is read back after each, so a lost answer and a restart are handled alike.
 */
import {
  desiredLoads, nextOrder, PlatformError, TargetError, type Clock, type ConfigView,
} from '@verbenashunt/core';
import type { EngineOrder, LoadedModel } from '@verbenashunt/schema';
import type { PlatformClient } from '@verbenashunt/wire';
import { orderTimeoutMs, type EngineOrders } from './engine-orders.js';
import { createLease, type Lease } from './lease.js';

const engineLeaseMs = 15_000;
const rolloutLeaseMs = 60_000;
const maxTries = 3;
const bytesPerMegabyte = 1_000_000;

export type OrderEvent = 'ordered' | 'unanswered' | 'fenced' | 'waiting' | 'halted' | 'reconciled';

export interface ReconcilerDeps {
  clock: Clock;
  platform: Pick<PlatformClient, 'get' | 'transact'>;
  engine: EngineOrders;
  fleet: string;
  target: string;
  node: string;
  incarnation: number;
  view(): ConfigView | undefined;
  /** Waits until the weight store has given these bytes. Throws PlatformError. */
  fetchWeights(bytes: number): Promise<void>;
  count(event: OrderEvent): void;
}

export interface Reconciler {
  /** Takes one step; further calls while one is under way do nothing. */
  step(): Promise<void>;
}

export function createReconciler(deps: ReconcilerDeps): Reconciler {
  const { target, incarnation } = deps;
  const leaseOf = (key: string, leaseMs: number) => createLease({
    platform: deps.platform, clock: deps.clock, key, holder: `${deps.node}/${incarnation}`, leaseMs,
  });
  const engineLease = leaseOf(`engine/${target}`, engineLeaseMs);
  const rollouts = new Map<string, Lease>();
  let busy = false;
  let fenced = false;
  let tries = { key: '', count: 0 };

  function rolloutOf(model: string): Lease {
    const lease = rollouts.get(model) ?? leaseOf(`rollout/${model}`, rolloutLeaseMs);
    rollouts.set(model, lease);
    return lease;
  }

  const ignoresFencing = (view: ConfigView) => !view.fleetOf(deps.fleet)?.targets
    ?.find(({ name }) => name === target)?.checksFencing;

  function bytesOf(view: ConfigView, { model, lo, hi }: LoadedModel): number {
    const megabytes = view.modelOf(model)?.model.layerMegabytes ?? 0;
    return (hi - lo) * megabytes * bytesPerMegabyte;
  }

  /** Gives the order when this agent may still do so at this moment. */
  async function give(order: EngineOrder, view: ConfigView) {
    if (ignoresFencing(view) && !engineLease.valid(orderTimeoutMs)) {
      deps.count('waiting');
      return;
    }
    const key = JSON.stringify(order);
    tries = { key, count: tries.key === key ? tries.count + 1 : 1 };
    deps.count('ordered');
    fenced = !await deps.engine.order(order);
    if (fenced) deps.count('fenced');
  }

  /** Takes the engine's lease where the engine ignores the number, and the model's rollout. */
  async function mayOrder(view: ConfigView, { model, version }: LoadedModel): Promise<boolean> {
    if (ignoresFencing(view) && !await engineLease.acquire()) return false;
    const rollout = rolloutOf(model);
    return await rollout.acquire() && rollout.halted !== version;
  }

  async function carryOut(order: EngineOrder, view: ConfigView) {
    const want = order as EngineOrder & LoadedModel;
    if (!await mayOrder(view, want)) {
      deps.count('waiting');
      return;
    }
    if (tries.key === JSON.stringify(order) && tries.count >= maxTries) {
      await rolloutOf(want.model).release(want.version);
      deps.count('halted');
      return;
    }
    await deps.fetchWeights(bytesOf(view, want));
    if (await mayOrder(view, want)) await give(order, view);
    else deps.count('waiting');
  }

  async function reconcile(view: ConfigView) {
    const { loaded } = await deps.engine.status();
    const desired = desiredLoads(view, deps.fleet, target, loaded);
    const order = nextOrder(desired, loaded, incarnation);
    if (order) {
      await carryOut(order, view);
      return;
    }
    if (tries.count === 0) return;
    tries = { key: '', count: 0 };
    deps.count('reconciled');
    await Promise.all([...rollouts.values()].map((lease) => lease.release()));
  }

  return {
    async step() {
      const view = deps.view();
      if (busy || fenced || !view) return;
      busy = true;
      try {
        await reconcile(view);
      } catch (err) {
        if (!(err instanceof TargetError) && !(err instanceof PlatformError)) throw err;
        deps.count('unanswered');
      } finally {
        busy = false;
      }
    },
  };
}
