/** An odd row of another writer among those of the targets ends no process and hides no others. */
import {
  afterEach, beforeEach, expect, test, vi,
} from 'vitest';
import { operatorConfig } from '@verbenashunt/platform/stand-in';
import { startGatewayFixture, type GatewayFixture } from '../support/gateway-fixture.js';
import { wait } from '../support/timing.js';

let fixture: GatewayFixture;

beforeEach(async () => {
  fixture = await startGatewayFixture({ apps: 2 });
});

afterEach(() => fixture.close());

const depth = 12_000;
const nested = `${'['.repeat(depth)}${']'.repeat(depth)}`;
const nestedObjects = `${'{"a":'.repeat(depth / 2)}1${'}'.repeat(depth / 2)}`;

/** Requests are served, and changes of targets and of the configuration still arrive. */
async function expectFollowed() {
  const {
    call, store, apps, gateway,
  } = fixture;
  const answers = await Promise.all(Array.from({ length: 10 }, () => call()));
  expect(answers.map(({ status }) => status)).toEqual(Array(10).fill(200));
  apps.slice(1).forEach(({ id }) => store.remove('servers', id));
  const changed = gateway.events.once('config');
  store.put('op', 'config', operatorConfig(2));
  expect(await Promise.race([changed, wait(5000)])).toBe(2);
  await vi.waitFor(async () => {
    const arrivals = apps[1]!.ran.length;
    await Promise.all(Array.from({ length: 6 }, () => call()));
    expect(apps[1]!.ran.length).toBe(arrivals);
  }, { timeout: 3000 });
}

const oddFields: [string, string][] = [
  ['layers', nested], ['layers', nestedObjects], ['address', nested], ['models', nested],
  ['slots', '1e400'], ['slots', '1e308'], ['born', '1e308'], ['born', '-1e400'],
  ['sequence', '1e400'], ['coldRemainingMs', '1e308'],
  ['layers', '{"from":0,"to":1e308}'], ['layers', '{"from":-1e308,"to":1e21}'],
  ['address', '"127.0.0.1:65536"'], ['address', '"127.0.0.1:99999999999"'],
  ['address', '"127.0.0.1:0"'], ['address', '"127.0.0.1:80:80"'],
  ['state', '"gone"'], ['service', '"none"'], ['zone', '{"__proto__":1}'],
];

test('targets with an odd field leave requests to the others, and changes are still followed', async () => {
  const { store, apps } = fixture;
  const row = JSON.stringify(apps[0]!.row('app'));
  oddFields.forEach(([field, json], i) => {
    const odd = `${row.slice(0, -1)},${JSON.stringify(field)}:${json}}`;
    store.put('servers', `odd-${i}`, odd);
  });
  [nested, nestedObjects, '1e400', 'null', '', '\u0000', '{'].forEach((text, i) => {
    store.put('servers', `odd-text-${i}`, text);
  });
  store.put('servers', '__proto__', row);
  await expectFollowed();
});

test.each([
  ['is nested deeply', nested],
  ['holds a deeply nested field', `{"table":"servers","key":"odd","value":${nestedObjects}}`],
  ['has a version that is too large', '{"table":"servers","key":"odd","value":"","schemaVersion":1e400}'],
  ['has no key', '{"table":"servers","value":"e30="}'],
  ['has a number as its key', '{"table":"servers","key":7,"value":"e30=","schemaVersion":7}'],
  ['is null', 'null'],
])('an answer of the store in which a row %s is used without that row', async (_, json) => {
  fixture.store.oddRows = [json];
  await expectFollowed();
});
