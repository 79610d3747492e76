/** Load and liveness of engines, before and after their first report. */
import {
  afterEach, expect, test, vi,
} from 'vitest';
import { pino } from 'pino';
import { createTargetPauses, SystemClock, type ServingTarget } from '@verbenashunt/core';
import { createLoadMonitor } from '@verbenashunt/gateway';
import { createPlatformPorts } from '@verbenashunt/platform';
import { startTarget } from '@verbenashunt/platform/stand-in';
import { createExchanger } from '@verbenashunt/wire';

const closers: (() => unknown)[] = [];

afterEach(async () => {
  await Promise.all(closers.splice(0).reverse().map((close) => close()));
});

async function startMonitor(otherTokens?: (id: string) => number | undefined) {
  const engine = await startTarget({ id: 'engine-0', kind: 'card' });
  engine.held = { from: 0, to: 8, version: 1 };
  const target: ServingTarget = {
    id: engine.id,
    service: 'pool',
    address: engine.address,
    zone: 'zone-a',
    draining: false,
    slots: 8,
    kind: 'card',
    held: { lo: 0, hi: 8, version: 1 },
    startedAt: 1,
  };
  const exchanger = createExchanger({ connectTimeoutMs: 300, keepAliveMs: 500 });
  const clock = new SystemClock();
  const pauses = createTargetPauses(clock);
  const load = createLoadMonitor({
    clock,
    log: pino({ level: 'silent' }),
    exchanger: { to: () => exchanger },
    protocol: createPlatformPorts('127.0.0.1:1').targets,
    pauses,
    rateLimits: { limitOf: () => undefined },
    keeperCount: () => 1,
    ownTokens: () => 0,
    otherTokens,
    onHeldLayers() {},
    engines: () => [target],
  });
  closers.push(engine.close, exchanger.close, load.close);
  return {
    engine, load, id: engine.id, target, pauses,
  };
}

const waitOptions = { timeout: 8000, interval: 20 };

test('assumes that a target may be full until its first report', async () => {
  const { load, id } = await startMonitor();
  expect(load.mayBeFull(id)).toBe(true);
  await vi.waitFor(() => expect(load.mayBeFull(id)).toBe(false), waitOptions);
});

test('marks an unreachable target dead until its next report', async () => {
  const { load, id } = await startMonitor();
  await vi.waitFor(() => expect(load.mayBeFull(id)).toBe(false), waitOptions);
  load.markUnreachable(id);
  expect(load.isDead(id)).toBe(true);
  await vi.waitFor(() => expect(load.isDead(id)).toBe(false), waitOptions);
});

test('marks a target dead after three polls without an answer', async () => {
  const { engine, load, id } = await startMonitor();
  await vi.waitFor(() => expect(load.mayBeFull(id)).toBe(false), waitOptions);
  await engine.close();
  expect(load.isDead(id)).toBe(false);
  load.pollSoon(id);
  await vi.waitFor(() => expect(load.isDead(id)).toBe(true), waitOptions);
});

test('polls no target that wants a pause', async () => {
  const {
    engine, load, id, target, pauses,
  } = await startMonitor();
  await vi.waitFor(() => expect(load.mayBeFull(id)).toBe(false), waitOptions);
  pauses.pause(target, 600);
  const before = engine.contacts;
  load.pollSoon(id);
  await new Promise((resolve) => {
    setTimeout(resolve, 400);
  });
  expect(engine.contacts).toBe(before);
  await vi.waitFor(() => expect(engine.contacts).toBeGreaterThan(before), waitOptions);
});

test('counts tokens of other entries that the last report of a target does not include', async () => {
  let others: number | undefined;
  const { load, id } = await startMonitor(() => others);
  await vi.waitFor(() => expect(load.mayBeFull(id)).toBe(false), waitOptions);
  const reported = load.tokensAt(id);
  others = reported + 500;
  expect(load.tokensAt(id)).toBe(reported + 500);
  others = undefined;
  expect(load.tokensAt(id)).toBe(reported);
});
