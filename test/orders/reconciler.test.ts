/**
 * The reconciler sends orders to load models: at most one agent may order an engine, targets load
 * one after the other, and a rollout without effect halts.
 */
import { expect, test } from 'vitest';
import {
  createReconciler, type EngineOrderClient, type OrderEvent, type Reconciler,
} from '@verbenashunt/agent';
import { createConfigView, ManualClock, TargetError } from '@verbenashunt/core';
import type { EngineOrder, LoadedModel } from '@verbenashunt/schema';
import { createFakePlatform } from '../support/fake-platform.js';

const loadedRange: LoadedModel = {
  model: 'rankings', version: 'v1', lo: 0, hi: 4, layers: 12,
};

class FakeEngine implements EngineOrderClient {
  loaded = [loadedRange];

  orders: EngineOrder[] = [];

  fault: 'lose-answer' | 'no-effect' | undefined;

  #fencing = 0;

  constructor(readonly checksFencing: boolean) {}

  status() {
    return Promise.resolve({
      loaded: this.loaded, accelerator: {} as never, active: 0, queued: 0, fencing: 0,
    });
  }

  async order(order: EngineOrder) {
    if (this.checksFencing && order.fencing < this.#fencing) return false;
    this.#fencing = order.fencing;
    this.orders.push(order);
    if (this.fault !== 'no-effect') this.loaded = [{ ...loadedRange, version: order.version! }];
    if (this.fault === 'lose-answer') throw new TargetError('the response was lost');
    return Promise.resolve(true);
  }

  close() {
    return Promise.resolve();
  }
}

const viewOf = (version: string, checksFencing: boolean) => createConfigView({
  revision: 1,
  declarations: {
    fleets: [{
      name: 'f',
      models: [{ name: 'rankings', version, layers: 12 }],
      targets: ['t-1', 't-2'].map((name) => ({ name, kind: 'engine', checksFencing })),
    }],
    organisations: [],
  },
});

interface TestSetup {
  version: string;
  fetchWeights: () => Promise<void>;
  clock: ManualClock;
  events: OrderEvent[];
  engine: FakeEngine;
  reconcilerOf(incarnation: number, target?: string, engine?: FakeEngine): Reconciler;
}

function createSetup(checksFencing: boolean): TestSetup {
  const [platform, clock, events] = [createFakePlatform(), new ManualClock(), [] as OrderEvent[]];
  const setup: TestSetup = {
    version: 'v2',
    fetchWeights: () => Promise.resolve(),
    clock,
    events,
    engine: new FakeEngine(checksFencing),
    reconcilerOf: (incarnation: number, target = 't-1', engine = setup.engine) => createReconciler({
      clock,
      platform,
      engine,
      fleet: 'f',
      target,
      node: `agent-${target}`,
      incarnation,
      view: () => viewOf(setup.version, checksFencing),
      fetchWeights: () => setup.fetchWeights(),
      onOrderEvent: (event) => events.push(event),
    }),
  };
  return setup;
}

test('an order whose response was lost is not sent again if the status shows its effect', async () => {
  const setup = createSetup(true);
  setup.engine.fault = 'lose-answer';
  const reconciler = setup.reconcilerOf(1);
  await reconciler.step();
  await reconciler.step();
  expect(setup.engine.orders).toHaveLength(1);
  expect(setup.events).toEqual(['ordered', 'unanswered', 'reconciled']);
});

test('an agent sends no more orders after the engine refused its fencing token', async () => {
  const setup = createSetup(true);
  await setup.engine.order({ kind: 'role', fencing: 2, version: 'v1' });
  const old = setup.reconcilerOf(1);
  await old.step();
  await old.step();
  expect(setup.events).toEqual(['ordered', 'fenced']);
  expect(setup.engine.orders).toHaveLength(1);
});

test('an old agent that resumes after a pause sends no order to an engine without fencing', async () => {
  const setup = createSetup(false);
  let finishFetch = () => {};
  let pausedStep: Promise<void> | undefined;
  const old = setup.reconcilerOf(1);
  await new Promise<void>((fetching) => {
    setup.fetchWeights = () => new Promise((resolve) => {
      finishFetch = resolve;
      fetching();
    });
    pausedStep = old.step();
  });
  setup.clock.advance(120_000);
  setup.fetchWeights = () => Promise.resolve();
  const successor = setup.reconcilerOf(2);
  await successor.step();
  setup.clock.advance(120_000);
  await successor.step();
  setup.clock.advance(120_000);
  await successor.step();
  expect(setup.engine.orders.map(({ fencing }) => fencing)).toEqual([2]);
  setup.engine.loaded = [loadedRange];
  finishFetch();
  await pausedStep;
  expect(setup.engine.orders.map(({ fencing }) => fencing)).toEqual([2]);
});

test('a new agent waits until the lease of its predecessor expires', async () => {
  const setup = createSetup(false);
  setup.engine.fault = 'no-effect';
  await setup.reconcilerOf(1).step();
  const successor = setup.reconcilerOf(2);
  const stepTimes = async (n: number): Promise<void> => {
    if (n === 0) return;
    setup.clock.advance(1000);
    await successor.step();
    await stepTimes(n - 1);
  };
  await stepTimes(14);
  expect(setup.engine.orders.map(({ fencing }) => fencing)).toEqual([1]);
  await stepTimes(70);
  expect(setup.engine.orders.map(({ fencing }) => fencing)).toContain(2);
});

test('targets load a model one after the other', async () => {
  const setup = createSetup(true);
  const second = new FakeEngine(true);
  const [a, b] = [setup.reconcilerOf(1), setup.reconcilerOf(1, 't-2', second)];
  await a.step();
  await b.step();
  expect(second.orders).toHaveLength(0);
  await a.step();
  await b.step();
  expect(second.orders).toHaveLength(1);
});

test('a rollout whose orders have no effect halts on all targets until another version is declared', async () => {
  const setup = createSetup(true);
  setup.engine.fault = 'no-effect';
  const second = new FakeEngine(true);
  const [a, b] = [setup.reconcilerOf(1), setup.reconcilerOf(1, 't-2', second)];
  await [1, 2, 3, 4].reduce((before) => before.then(() => a.step()), Promise.resolve());
  expect(setup.events.at(-1)).toBe('halted');
  await b.step();
  expect(second.orders).toHaveLength(0);
  await b.step();
  setup.version = 'v3';
  await b.step();
  expect(second.orders.map(({ version }) => version)).toEqual(['v3']);
});
