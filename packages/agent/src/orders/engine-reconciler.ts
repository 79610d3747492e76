/** Connects the reconciler to the engine, the metrics and the platform's weight store. */
import { Counter, type Registry } from 'prom-client';
import { request } from 'undici';
import { PlatformError, type Clock, type ConfigView } from '@verbenashunt/core';
import type { AgentSettings } from '@verbenashunt/schema';
import type { PlatformClient } from '@verbenashunt/wire';
import { HttpEngineOrderClient } from './engine-order-client.js';
import { createReconciler } from './reconciler.js';

const weightsTimeoutMs = 600_000;

export interface EngineReconciler {
  /** Runs one reconciliation step; called on every status of the engine. */
  step(): Promise<void>;
  close(): Promise<void>;
}

export interface EngineReconcilerDeps {
  cfg: AgentSettings;
  clock: Clock;
  platform: PlatformClient;
  incarnation: number;
  registry: Registry;
  view(): ConfigView | undefined;
}

/** Downloads this many bytes from the weight store, which limits the rate. */
async function fetchWeights(platformUrl: string, bytes: number) {
  if (bytes === 0) return;
  try {
    const { statusCode, body } = await request(`${platformUrl}/weights?bytes=${bytes}`, {
      headersTimeout: weightsTimeoutMs, bodyTimeout: weightsTimeoutMs,
    });
    await body.dump();
    if (statusCode < 300) return;
  } catch (err) {
    throw new PlatformError('the weight store did not respond', { cause: err });
  }
  throw new PlatformError('the weight store responded with an error');
}

export function createEngineReconciler({
  cfg, clock, platform, incarnation, registry, view,
}: EngineReconcilerDeps): EngineReconciler {
  const events = new Counter({
    name: 'verbenashunt_engine_orders_total',
    help: 'Orders to the engine by event: ordered, unanswered, fenced, waiting, halted, reconciled.',
    labelNames: ['event'],
    registers: [registry],
  });
  const engine = new HttpEngineOrderClient(cfg.targetUrl);
  const reconciler = createReconciler({
    clock,
    platform,
    engine,
    fleet: cfg.fleet,
    target: cfg.target,
    node: cfg.node,
    incarnation,
    view,
    fetchWeights: (bytes) => fetchWeights(cfg.platformUrl, bytes),
    onOrderEvent: (event) => events.inc({ event }),
  });
  return { step: reconciler.step, close: () => engine.close() };
}
