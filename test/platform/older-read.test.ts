/** A gateway that is started again with an older read of the store, as from a replica that lags. */
import { afterEach, expect, test } from 'vitest';
import type { Gateway } from '@verbenashunt/gateway';
import { operatorConfig } from '@verbenashunt/platform/stand-in';
import {
  callGateway, startGateway, startGatewayFixture, type GatewayFixture,
} from '../support/gateway-fixture.js';
import { wait } from '../support/timing.js';

let fixture: GatewayFixture;
let gateway: Gateway;

afterEach(async () => {
  await gateway.stop(AbortSignal.abort());
  await fixture.close();
});

test('neither a target that left nor a key that was revoked is in use again after a restart', async () => {
  fixture = await startGatewayFixture({ apps: 2 });
  const { store, apps } = fixture;
  const [left] = apps;
  store.readAt = store.put('op', 'marker', {});
  store.remove('servers', left!.id);
  const tenants = [{ name: 'org', apiKeys: ['key-2'], priority: 1 }];
  store.put('op', 'config', operatorConfig(2, { tenants }));
  await wait(300);
  await fixture.gateway.stop(AbortSignal.abort());
  left!.arrivals = 0;
  gateway = await startGateway(store);
  const answers = await Promise.all(Array.from({ length: 100 }, async (_, i) => {
    await wait(i * 5);
    const withKey = (key: string) => callGateway(gateway.ports.front, { headers: { authorization: `Bearer ${key}` } });
    return Promise.all([withKey('key-1'), withKey('key-2')]);
  }));
  expect(answers.map(([revoked]) => revoked.status)).not.toContain(200);
  expect(left!.arrivals).toBe(0);
  expect(answers.at(-1)!.map(({ status }) => status)).toEqual([401, 200]);
});
