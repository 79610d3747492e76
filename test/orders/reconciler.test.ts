/** Orders to an engine: fenced by number or by lease, read back, staggered, halted. */
import { expect, test } from 'vitest';
import {
  createReconciler, type EngineOrders, type OrderEvent, type Reconciler,
} from '@verbenashunt/agent';
import { createConfigView, ManualClock, TargetError } from '@verbenashunt/core';
import type { EngineOrder, LoadedModel } from '@verbenashunt/schema';
import { createFakePlatform } from '../support/fake-platform.js';

const range: LoadedModel = {
  model: 'rankings', version: 'v1', lo: 0, hi: 4, layers: 12,
};

class FakeEngine implements EngineOrders {
  loaded = [range];

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
    if (this.fault !== 'no-effect') this.loaded = [{ ...range, version: order.version! }];
    if (this.fault === 'lose-answer') throw new TargetError('lost');
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

interface Bed {
  version: string;
  fetchWeights: () => Promise<void>;
  clock: ManualClock;
  events: OrderEvent[];
  engine: FakeEngine;
  agent(incarnation: number, target?: string, engine?: FakeEngine): Reconciler;
}

function createBed(checksFencing: boolean): Bed {
  const [platform, clock, events] = [createFakePlatform(), new ManualClock(), [] as OrderEvent[]];
  const bed: Bed = {
    version: 'v2',
    fetchWeights: () => Promise.resolve(),
    clock,
    events,
    engine: new FakeEngine(checksFencing),
    agent: (incarnation: number, target = 't-1', engine = bed.engine) => createReconciler({
      clock,
      platform,
      engine,
      fleet: 'f',
      target,
      node: `agent-${target}`,
      incarnation,
      view: () => viewOf(bed.version, checksFencing),
      fetchWeights: () => bed.fetchWeights(),
      count: (event) => events.push(event),
    }),
  };
  return bed;
}

test('a lost answer is read back and the order is not given again', async () => {
  const bed = createBed(true);
  bed.engine.fault = 'lose-answer';
  const agent = bed.agent(1);
  await agent.step();
  await agent.step();
  expect(bed.engine.orders).toHaveLength(1);
  expect(bed.events).toEqual(['ordered', 'unanswered', 'reconciled']);
});

test('an engine that checks the number refuses the old agent, which gives no more orders', async () => {
  const bed = createBed(true);
  await bed.engine.order({ kind: 'role', fencing: 2, version: 'v1' });
  const old = bed.agent(1);
  await old.step();
  await old.step();
  expect(bed.events).toEqual(['ordered', 'fenced']);
  expect(bed.engine.orders).toHaveLength(1);
});

test('an old agent that wakes gives no order to an engine that ignores the number', async () => {
  const bed = createBed(false);
  let wake = () => {};
  let asleep: Promise<void> | undefined;
  const old = bed.agent(1);
  await new Promise<void>((fetching) => {
    bed.fetchWeights = () => new Promise((resolve) => {
      wake = resolve;
      fetching();
    });
    asleep = old.step();
  });
  bed.clock.advance(120_000);
  bed.fetchWeights = () => Promise.resolve();
  const successor = bed.agent(2);
  await successor.step();
  bed.clock.advance(120_000);
  await successor.step();
  bed.clock.advance(120_000);
  await successor.step();
  expect(bed.engine.orders.map(({ fencing }) => fencing)).toEqual([2]);
  bed.engine.loaded = [range];
  wake();
  await asleep;
  expect(bed.engine.orders.map(({ fencing }) => fencing)).toEqual([2]);
});

test('a successor waits out the lease of the agent before it', async () => {
  const bed = createBed(false);
  bed.engine.fault = 'no-effect';
  await bed.agent(1).step();
  const successor = bed.agent(2);
  const steps = async (n: number): Promise<void> => {
    if (n === 0) return;
    bed.clock.advance(1000);
    await successor.step();
    await steps(n - 1);
  };
  await steps(14);
  expect(bed.engine.orders.map(({ fencing }) => fencing)).toEqual([1]);
  await steps(70);
  expect(bed.engine.orders.map(({ fencing }) => fencing)).toContain(2);
});

test('targets of one model load one after the other', async () => {
  const bed = createBed(true);
  const second = new FakeEngine(true);
  const [a, b] = [bed.agent(1), bed.agent(1, 't-2', second)];
  await a.step();
  await b.step();
  expect(second.orders).toHaveLength(0);
  await a.step();
  await b.step();
  expect(second.orders).toHaveLength(1);
});

test('a rollout whose loads have no effect halts for all targets until another is declared', async () => {
  const bed = createBed(true);
  bed.engine.fault = 'no-effect';
  const second = new FakeEngine(true);
  const [a, b] = [bed.agent(1), bed.agent(1, 't-2', second)];
  await [1, 2, 3, 4].reduce((before) => before.then(() => a.step()), Promise.resolve());
  expect(bed.events.at(-1)).toBe('halted');
  await b.step();
  expect(second.orders).toHaveLength(0);
  await b.step();
  bed.version = 'v3';
  await b.step();
  expect(second.orders.map(({ version }) => version)).toEqual(['v3']);
});
