/** Requests that crash the targets that run them, at several entries. */
import {
  afterEach, expect, test, vi,
} from 'vitest';
import type { CrashRecord } from '@verbenashunt/core';
import type { Gateway } from '@verbenashunt/gateway';
import {
  callGateway, startGateway, startGatewayFixture, type CallerAnswer, type GatewayFixture,
} from '../support/gateway-fixture.js';

let world: GatewayFixture;
const others: Gateway[] = [];

async function begin(apps: number) {
  world = await startGatewayFixture({ apps });
  world.apps.forEach((app) => Object.assign(app, { manner: 'crash-on-poison' }));
  const second = await startGateway(world.store, 'entry-2');
  others.push(second);
  await vi.waitFor(async () => {
    const { status } = await callGateway(second.ports.front, { path: '/open/warm' });
    if (status !== 200) throw new Error(`not warm: ${status}`);
  }, { timeout: 10_000 });
  return { ...world, callSecond: (more: object) => callGateway(second.ports.front, more) };
}

afterEach(async () => {
  await Promise.all(others.splice(0).map((gateway) => gateway.stop(AbortSignal.abort())));
  await world.close();
});

/** Calls one after the other. */
const inTurn = (calls: (() => Promise<CallerAnswer>)[]) => calls.reduce(
  async (before, call) => [...await before, await call()],
  Promise.resolve<CallerAnswer[]>([]),
);

const poison = { method: 'POST', path: '/write/a', body: 'poison' };
const isCrashed = { timeout: 5000, interval: 20 };

test('not run any more once three targets have crashed, at any entry', async () => {
  const it = await begin(6);
  const ran = () => it.apps.flatMap((app) => app.ran).filter(({ body }) => body === 'poison').length;
  const first = await inTurn([it.call, it.callSecond, it.call].map((call) => () => call(poison)));
  expect(first.map(({ status }) => status)).toEqual([502, 502, 502]);
  expect(ran()).toBe(3);
  await vi.waitFor(async () => {
    const rows = ['entry-1', 'entry-2']
      .map((node) => it.store.read('verbenashunt-crashes', node) as CrashRecord | undefined);
    expect(rows.flatMap((row) => row?.crashes ?? [])).toHaveLength(3);
  }, isCrashed);
  await vi.waitFor(async () => {
    const answers = await Promise.all([it.call, it.callSecond].map((call) => call(poison)));
    expect(answers.map(({ body }) => JSON.parse(body).error))
      .toEqual([1, 2].map(() => expect.objectContaining({ code: 'quarantined', ran: 'no' })));
    expect(answers.map(({ status, headers }) => [status, headers['retry-after']]))
      .toEqual([[503, undefined], [503, undefined]]);
  }, isCrashed);
  expect(ran()).toBeLessThanOrEqual(4);
});

test('others with another body, caller or path run', async () => {
  const it = await begin(5);
  await inTurn([it.call, it.call, it.call].map((call) => () => call(poison)));
  await vi.waitFor(async () => {
    expect((await it.call(poison)).body).toContain('quarantined');
  }, isCrashed);
  const answers = await Promise.all([
    it.call({ ...poison, body: 'order' }), it.callSecond({ ...poison, body: 'order' }),
  ]);
  expect(answers.map(({ status }) => status)).toEqual([200, 200]);
});

test('targets that reset connections and live are no crashes', async () => {
  const it = await begin(2);
  it.apps.forEach((app) => Object.assign(app, { manner: 'reset' }));
  const innocent = { method: 'POST', path: '/write/a', body: 'innocent' };
  await inTurn(Array.from({ length: 5 }, () => () => it.call(innocent)));
  it.apps.forEach((app) => Object.assign(app, { manner: 'answer' }));
  await vi.waitFor(async () => expect((await it.call(innocent)).status).toBe(200), isCrashed);
  expect(it.store.read('verbenashunt-crashes', 'entry-1')).toBeUndefined();
});
