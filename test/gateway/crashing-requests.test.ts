/** Requests that crash the targets that run them, with two gateways on one store. */
import {
  afterEach, expect, test, vi,
} from 'vitest';
import type { CrashRecord } from '@verbenashunt/core';
import type { Gateway } from '@verbenashunt/gateway';
import {
  callGateway, startGateway, startGatewayFixture, type CallerAnswer, type GatewayFixture,
} from '../support/gateway-fixture.js';

let fixture: GatewayFixture;
const otherGateways: Gateway[] = [];

async function startTwoGateways(apps: number) {
  fixture = await startGatewayFixture({ apps });
  fixture.apps.forEach((app) => Object.assign(app, { behaviour: 'crash-on-poison' }));
  const second = await startGateway(fixture.store, 'entry-2');
  otherGateways.push(second);
  await vi.waitFor(async () => {
    const { status } = await callGateway(second.ports.front, { path: '/open/warm' });
    if (status !== 200) throw new Error(`not warm: ${status}`);
  }, { timeout: 10_000 });
  return { ...fixture, callSecond: (more: object) => callGateway(second.ports.front, more) };
}

afterEach(async () => {
  await Promise.all(otherGateways.splice(0).map((gateway) => gateway.stop(AbortSignal.abort())));
  await fixture.close();
});

/** Makes the calls one after another. */
const callInSequence = (calls: (() => Promise<CallerAnswer>)[]) => calls.reduce(
  async (before, call) => [...await before, await call()],
  Promise.resolve<CallerAnswer[]>([]),
);

const poison = { method: 'POST', path: '/write/a', body: 'poison' };
/** Time in milliseconds, a bound of the settings, within which all entries learn of a crash. */
const contactMs = 3000;
const crashTimeout = { timeout: 5000, interval: 20 };

test('a request that has crashed three targets is refused by all gateways', async () => {
  const setup = await startTwoGateways(6);
  const ran = () => setup.apps.flatMap((app) => app.ran).filter(({ body }) => body === 'poison').length;
  const first = await callInSequence(
    [setup.call, setup.callSecond, setup.call].map((call) => () => call(poison)),
  );
  expect(first.map(({ status }) => status)).toEqual([502, 502, 502]);
  expect(ran()).toBe(3);
  await vi.waitFor(async () => {
    const rows = ['entry-1', 'entry-2']
      .map((node) => setup.store.read('verbenashunt-crashes', node) as CrashRecord | undefined);
    expect(rows.flatMap((row) => row?.crashes ?? [])).toHaveLength(3);
  }, crashTimeout);
  await new Promise((resolve) => {
    setTimeout(resolve, contactMs);
  });
  const answers = await Promise.all([setup.call, setup.callSecond].map((call) => call(poison)));
  expect(answers.map(({ body }) => JSON.parse(body).error))
    .toEqual([1, 2].map(() => expect.objectContaining({ code: 'quarantined', ran: 'no' })));
  expect(answers.map(({ status, headers }) => [status, headers['retry-after']]))
    .toEqual([[503, undefined], [503, undefined]]);
  expect(ran()).toBe(3);
});

test('requests with another body still run', async () => {
  const setup = await startTwoGateways(5);
  await callInSequence([setup.call, setup.call, setup.call].map((call) => () => call(poison)));
  await vi.waitFor(async () => {
    expect((await setup.call(poison)).body).toContain('quarantined');
  }, crashTimeout);
  const answers = await Promise.all([
    setup.call({ ...poison, body: 'order' }), setup.callSecond({ ...poison, body: 'order' }),
  ]);
  expect(answers.map(({ status }) => status)).toEqual([200, 200]);
});

test('targets that reset connections but stay alive are not recorded as crashed', async () => {
  const setup = await startTwoGateways(2);
  setup.apps.forEach((app) => Object.assign(app, { behaviour: 'reset' }));
  const innocent = { method: 'POST', path: '/write/a', body: 'innocent' };
  await callInSequence(Array.from({ length: 5 }, () => () => setup.call(innocent)));
  setup.apps.forEach((app) => Object.assign(app, { behaviour: 'answer' }));
  await vi.waitFor(async () => expect((await setup.call(innocent)).status).toBe(200), crashTimeout);
  expect(setup.store.read('verbenashunt-crashes', 'entry-1')).toBeUndefined();
});
