/** Orders around a hand-over of the lease: an entry that has lost it sends none. */
import { pino } from 'pino';
import { afterEach, expect, test } from 'vitest';
import {
  createServingConfigHolder, createTargetTable, ManualClock, SystemClock, type ServingTarget,
} from '@verbenashunt/core';
import { createLeaseKeeper, createPlacementController } from '@verbenashunt/gateway';
import { createPlatformPorts } from '@verbenashunt/platform';
import { operatorConfig, startStore } from '@verbenashunt/platform/stand-in';
import type { ExchangeHandler, Exchanger } from '@verbenashunt/wire';

const report = Buffer.from(JSON.stringify({
  busy: false, sequence: 0, layers: null, routeType: 'card',
}));
const { targets: protocol, rows, store } = createPlatformPorts('127.0.0.1:1');

interface Call {
  path: string;
  handler: ExchangeHandler;
}

const close: (() => void)[] = [];

afterEach(() => close.splice(0).forEach((callback) => callback()));

function setUp() {
  const clock = new ManualClock();
  const calls: Call[] = [];
  const exchanger: Exchanger = {
    start(_, { path }, handler) {
      calls.push({ path, handler });
      return { isSent: true, abort() {} };
    },
    dropIdle() {},
    close() {},
  };
  const config = createServingConfigHolder();
  const value = Buffer.from(JSON.stringify(operatorConfig(1)));
  config.offer(rows.decodeConfig({ key: 'config', value, version: 1 })!);
  const targets = createTargetTable();
  targets.reset(['a', 'b'].map((id, i): ServingTarget => ({
    id,
    service: 'pool',
    address: `127.0.0.1:${9 + i}`,
    zone: 'zone-a',
    draining: false,
    slots: 8,
    kind: 'card',
    held: undefined,
    startedAt: 1,
  })));
  const lease = { token: 5 as number | undefined };
  const controller = createPlacementController({
    clock,
    log: pino({ level: 'silent' }),
    config,
    targets,
    lease: {
      orderPermit: () => (lease.token === undefined
        ? undefined
        : { token: lease.token, isHolderUnknown: false }),
      onFenced() {},
    },
    exchanger: { to: () => exchanger },
    protocol,
    pauses: { isPaused: () => false },
    rateLimits: { heldMs: () => 0, limitOf: () => undefined },
    isDead: () => false,
    isFailing: () => false,
  });
  close.push(controller.close, store.close);
  return {
    clock, calls, lease, controller,
  };
}

const ordersOf = (calls: readonly Call[]) => calls.filter(({ path }) => path === '/api/order');

/** Runs the controller until it asks the targets for reports, before it orders anything. */
function untilReports({ clock, calls }: ReturnType<typeof setUp>) {
  clock.advance(2000);
  expect(calls.map(({ path }) => path)).toContain('/api/report');
  expect(ordersOf(calls)).toEqual([]);
}

async function answerReports({ calls }: ReturnType<typeof setUp>) {
  calls.filter(({ path }) => path === '/api/report').forEach(({ handler }) => {
    handler.head(200, {}, true);
    handler.data(report);
    handler.end();
  });
  await new Promise((resolve) => {
    setTimeout(resolve, 20);
  });
}

test('the holder of the lease sends orders after the reports', async () => {
  const setup = setUp();
  untilReports(setup);
  await answerReports(setup);
  expect(ordersOf(setup.calls).length).toBeGreaterThan(0);
});

test('no order is sent when the lease is lost while the report is awaited, as by an entry that was frozen', async () => {
  const setup = setUp();
  untilReports(setup);
  setup.lease.token = undefined;
  await answerReports(setup);
  expect(ordersOf(setup.calls)).toEqual([]);
});

test('no order is sent with the token of an earlier lease', async () => {
  const setup = setUp();
  untilReports(setup);
  setup.lease.token = 7;
  await answerReports(setup);
  expect(ordersOf(setup.calls)).toEqual([]);
});

test('no order is sent after the controller was closed for a stop', async () => {
  const setup = setUp();
  untilReports(setup);
  setup.controller.close();
  await answerReports(setup);
  expect(ordersOf(setup.calls)).toEqual([]);
});

test('a holder that was frozen for longer than its lease gives no orders when it wakes', async () => {
  const storeStandIn = await startStore();
  const { store: rowStore } = createPlatformPorts(storeStandIn.address);
  const clock = new SystemClock();
  let frozenMs = 0;
  const keeper = createLeaseKeeper({
    clock: {
      now: () => clock.now() + frozenMs, wall: () => clock.wall(), after: clock.after,
    },
    random: () => 0.5,
    log: pino({ level: 'silent' }),
    store: rowStore,
    announcements: { send() {}, onRow() {} },
    node: 'a',
  });
  close.push(keeper.close, rowStore.close, () => {
    storeStandIn.close();
  });
  await expect.poll(() => keeper.orderPermit()?.token, { timeout: 5000 }).toBe(1);
  frozenMs = 4000;
  expect(keeper.orderPermit()).toBeUndefined();
});
