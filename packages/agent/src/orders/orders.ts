/** The orders of an agent to its engine, with their metrics and the platform's weight store. */
import { Counter, type Registry } from 'prom-client';
import { request } from 'undici';
import { PlatformError, type Clock, type ConfigView } from '@verbenashunt/core';
import type { AgentSettings } from '@verbenashunt/schema';
import type { PlatformClient } from '@verbenashunt/wire';
import { HttpEngineOrders } from './engine-orders.js';
import { createReconciler } from './reconciler.js';

const weightsTimeoutMs = 600_000;

export interface Orders {
  /** Takes one step towards the configuration; called with every status of the engine. */
  step(): Promise<void>;
  close(): Promise<void>;
}

export interface OrdersDeps {
  cfg: AgentSettings;
  clock: Clock;
  platform: PlatformClient;
  incarnation: number;
  registry: Registry;
  view(): ConfigView | undefined;
}

/** Waits until the weight store has given the bytes, at the rate that it allows. */
async function fetchWeights(platformUrl: string, bytes: number) {
  if (bytes === 0) return;
  try {
    const { statusCode, body } = await request(`${platformUrl}/weights?bytes=${bytes}`, {
      headersTimeout: weightsTimeoutMs, bodyTimeout: weightsTimeoutMs,
    });
    await body.dump();
    if (statusCode < 300) return;
  } catch (err) {
    throw new PlatformError('the weight store did not answer', { cause: err });
  }
  throw new PlatformError('the weight store gave no weights');
}

export function createOrders({
  cfg, clock, platform, incarnation, registry, view,
}: OrdersDeps): Orders {
  const events = new Counter({
    name: 'verbenashunt_engine_orders_total',
    help: 'Orders to the engine by event: ordered, unanswered, fenced, waiting, halted, reconciled.',
    labelNames: ['event'],
    registers: [registry],
  });
  const engine = new HttpEngineOrders(cfg.targetUrl);
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
    count: (event) => events.inc({ event }),
  });
  return { step: reconciler.step, close: () => engine.close() };
}
