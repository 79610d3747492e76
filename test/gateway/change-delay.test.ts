/**
 * How late a change of the store arrives at entries in touch while other entries, or the store a
 * while ago, were disturbed.
 */
import { createServer, type Server } from 'node:http';
import type { AddressInfo } from 'node:net';
import { afterEach, expect, test } from 'vitest';
import { encodeChanges } from '@verbenashunt/gateway';
import { createPlatformPorts } from '@verbenashunt/platform';
import type { StoreStandIn } from '@verbenashunt/platform/stand-in';
import { appliedAt, startProxiedZone, type ProxiedZone } from '../support/proxied-zone.js';
import { wait } from '../support/timing.js';

/** Time in milliseconds within which a change must take hold. */
const changeBoundMs = 3000;
/** Age limit of entries for this bound. */
const maxAgeMs = 2000;
/** Time in milliseconds after a disturbance of an entry or the store until the bound holds. */
const inTouchAfterMs = 4000;
const size = 4;
const zones: ProxiedZone[] = [];
const servers: Server[] = [];

afterEach(async () => {
  servers.splice(0).forEach((server) => {
    server.close();
    server.closeAllConnections();
  });
  await Promise.all(zones.splice(0).map((zone) => zone.close()));
});

async function startZone() {
  const zone = await startProxiedZone({ size, maxAgeMs });
  zones.push(zone);
  // Followers have found their relay.
  await wait(2500);
  return zone;
}

/** Server that answers calls for changes with the state that the store had at its start. */
async function startStaleRelay(store: StoreStandIn): Promise<{ port: number }> {
  const { address } = store;
  const state = await createPlatformPorts(address).store.read('op');
  const server = createServer(async (req, res) => {
    const query = new URL(req.url!, 'http://relay').searchParams;
    await wait(Number(query.get('waitMs')));
    const after = Number(query.get('after'));
    res.end(encodeChanges({ ...state, version: Math.max(after, state.version), rows: [] }));
  });
  await new Promise<void>((resolve) => {
    server.listen(0, '127.0.0.1', resolve);
  });
  servers.push(server);
  return { port: (server.address() as AddressInfo).port };
}

/** A change, and the longest delay in milliseconds at the entries that nothing has disturbed. */
async function delayAtOthers(zone: ProxiedZone, change: { version: number; at: number }) {
  await wait(change.at + changeBoundMs + 2500 - performance.now());
  const delays = [2, 3].map((member) => appliedAt(zone, member, change.version) - change.at);
  return Math.max(...delays);
}

test('a change is in time when the relay has lost the store and then freezes', async () => {
  const delays = await Promise.all([1000, 1700, 1900, 2100].map(async (freezeAfterMs) => {
    const zone = await startZone();
    // The relay has just heard from the store, so it counts itself as up to date for longest.
    zone.change();
    await wait(40);
    zone.members[0]!.toStore.dropData({ includeNew: true });
    const change = zone.change();
    await wait(freezeAfterMs);
    zone.members[0]!.toEntry.pause();
    return delayAtOthers(zone, change);
  }));
  expect(delays.map(Math.round).filter((ms) => ms > changeBoundMs)).toEqual([]);
});

test('a change is in time when the relay passes on an old answer as if it were new', async () => {
  const zone = await startZone();
  const stale = await startStaleRelay(zone.store);
  zone.members[0]!.toEntry.resetConnections();
  zone.members[0]!.toEntry.retarget(stale.port);
  // A relay whose connections were reset is avoided for 10 s.
  await wait(11_000);
  const change = zone.change();
  expect(Math.round(await delayAtOthers(zone, change))).toBeLessThan(changeBoundMs);
});

test('changes after a silent store are in force when entries count as in touch, the relay frozen', async () => {
  const outagesMs = [1000, 1600, 2300, 3000, 3700, 4500];
  const delays = await Promise.all(outagesMs.flatMap((outageMs) => [0, 900].map(
    async (ackAfterMs) => {
      const zone = await startZone();
      zone.store.fault = 'silent';
      await wait(outageMs - 300);
      zone.members[0]!.toEntry.pause();
      await wait(300);
      zone.store.fault = 'none';
      const endedAt = performance.now();
      await wait(ackAfterMs);
      const { version } = zone.change();
      await wait(inTouchAfterMs + 2500);
      return Math.max(...[2, 3].map((member) => appliedAt(zone, member, version) - endedAt));
    },
  )));
  expect(delays.map(Math.round).filter((ms) => ms > inTouchAfterMs)).toEqual([]);
});
