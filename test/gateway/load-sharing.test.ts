/** Loads, failures and retry budgets that several gateways share over their relay ports. */
import {
  afterEach, expect, test, vi,
} from 'vitest';
import type { Gateway, GatewayOptions } from '@verbenashunt/gateway';
import {
  callGateway, startGateway, startGatewayFixture, type GatewayFixture,
} from '../support/gateway-fixture.js';
import { wait } from '../support/timing.js';

const relay = { host: '127.0.0.1', port: 0 };
let fixture: GatewayFixture;
const others: Gateway[] = [];

afterEach(async () => {
  await Promise.all(others.splice(0).map((gateway) => gateway.stop(AbortSignal.abort())));
  await fixture.close();
});

/** Starts three gateways, of which two are in one zone. */
async function startFleet(options: Partial<GatewayOptions>) {
  fixture = await startGatewayFixture({ apps: 4, gateway: { ...options, zone: 'zone-b' } });
  others.push(...await Promise.all(['entry-2', 'entry-3']
    .map((node) => startGateway(fixture.store, node, options))));
  // By then each gateway has read the rows of the others and reported to its keeper.
  await wait(3000);
}

/** Sends calls, which the targets refuse, to one gateway; returns the number of retries. */
async function countRetries({ ports }: Gateway, calls: number): Promise<number> {
  fixture.apps.forEach((app) => Object.assign(app, { behaviour: 'not-run', arrivals: 0 }));
  for (let i = 0; i < calls; i += 1) {
    callGateway(ports.front, { headers: { 'request-deadline-ms': '500' } });
    await wait(50);
  }
  await wait(500);
  return fixture.apps.reduce((sum, { arrivals }) => sum + arrivals, 0) - calls;
}

const retries = {
  ratio: 0, extra: 60, windowMs: 10_000, lentShare: 0.75,
};
/** Most retries of calls that one of three gateways may make by itself. */
const ownPart = 0.8 * 0.6 * (retries.extra / 3);

test.each([
  ['alone in its zone', () => fixture.gateway], ['one of two in its zone', () => others[1]!],
])('a gateway %s uses retries that the others leave, within the budget of all', async (_, gateway) => {
  await startFleet({ retries, relay });
  const used = await countRetries(gateway(), 80);
  expect(used).toBeGreaterThan(1.5 * ownPart);
  expect(used).toBeLessThanOrEqual(0.8 * retries.extra);
});

test('a target that fails at one gateway is avoided by the others', async () => {
  await startFleet({ relay });
  const [broken] = fixture.apps;
  broken!.behaviour = 'reset';
  const sendMany = ({ ports }: Gateway, count: number) => Promise.all(
    Array.from({ length: count }, () => callGateway(ports.front)),
  );
  for (let i = 0; i < 20; i += 1) {
    await sendMany(others[0]!, 10);
    await wait(100);
  }
  // Starts from a new failure, as the avoidance ends 2 s after the last one.
  const failures = broken!.arrivals;
  await vi.waitFor(async () => {
    await sendMany(others[0]!, 10);
    expect(broken!.arrivals).toBeGreaterThan(failures);
  }, { timeout: 5000 });
  // A calm gateway reports, and hears of others, once a second.
  await wait(1300);
  const before = broken!.arrivals;
  await sendMany(others[1]!, 20);
  expect(broken!.arrivals).toBe(before);
});

test('gateways without a relay address keep to their own parts of the retry budget', async () => {
  await startFleet({ retries });
  const used = await countRetries(others[1]!, 80);
  expect(used).toBe(Math.floor(ownPart));
});
