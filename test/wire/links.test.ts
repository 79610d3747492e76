/** Peer links through a relay that resets connections, drops their data or delays it. */
import {
  afterEach, expect, test, vi,
} from 'vitest';
import { createRelay } from '../support/relay.js';
import { dialPeer, startPeer } from '../support/peers.js';

const waitOptions = { timeout: 20_000, interval: 10 };
const closers: (() => unknown)[] = [];
const closeAfterTest = <T extends { close(): unknown }>(resource: T): T => {
  closers.push(() => resource.close());
  return resource;
};

afterEach(async () => {
  await Promise.all(closers.splice(0).map((close) => close()));
});

/** Creates a link that counts as active, since it has just carried a message other than a ping. */
async function createActiveLink() {
  const peer = closeAfterTest(await startPeer());
  const relay = closeAfterTest(await createRelay(peer.port));
  const link = closeAfterTest(dialPeer(relay.port));
  await vi.waitFor(() => expect(link.events).toEqual(['up 1']), waitOptions);
  link.connection!.send({ t: 'configAsk', revision: 0 });
  return { peer, relay, link };
}

test('a link whose data is dropped is resumed on a second connection', async () => {
  const { link, relay } = await createActiveLink();
  relay.dropData();
  await vi.waitFor(() => expect(link.events).toEqual(['up 1', 'resumed 1']), waitOptions);
  await vi.waitFor(() => expect(relay.openCount).toBe(1), waitOptions);
});

test('a link whose data is dropped in one direction is resumed', async () => {
  const { link, relay } = await createActiveLink();
  relay.dropData({ direction: 'up' });
  await vi.waitFor(() => expect(link.events).toEqual(['up 1', 'resumed 1']), waitOptions);
});

test('a link is resumed after a reset when the same incarnation answers', async () => {
  const { link, relay } = await createActiveLink();
  relay.resetConnections();
  await vi.waitFor(() => expect(link.events).toEqual(['up 1', 'resumed 1']), waitOptions);
});

test('a peer that is silent on every connection is lost, and is up again once data passes', async () => {
  const { link, relay } = await createActiveLink();
  relay.dropData({ includeNew: true });
  await vi.waitFor(() => expect(link.events).toEqual(['up 1', 'lost 1']), waitOptions);
  relay.heal();
  await vi.waitFor(() => expect(link.events).toEqual(['up 1', 'lost 1', 'up 1']), waitOptions);
});

test('a peer is lost when its port is closed', async () => {
  const peer = await startPeer();
  const link = closeAfterTest(dialPeer(peer.port));
  await vi.waitFor(() => expect(link.events).toEqual(['up 1']), waitOptions);
  peer.close();
  await vi.waitFor(() => expect(link.events).toEqual(['up 1', 'lost 1']), waitOptions);
});

test('a newer incarnation at the address does not resume the link', async () => {
  const { link, relay } = await createActiveLink();
  const restarted = closeAfterTest(await startPeer({ incarnation: 2 }));
  relay.retarget(restarted.port);
  relay.resetConnections();
  await vi.waitFor(() => expect(link.events).toEqual(['up 1', 'lost 1', 'up 2']), waitOptions);
});

test('another node at the address is rejected', async () => {
  const { link, relay } = await createActiveLink();
  const other = closeAfterTest(await startPeer({ node: 'agent-2', incarnation: 1 }));
  relay.retarget(other.port);
  relay.resetConnections();
  await vi.waitFor(() => expect(link.events).toEqual(['up 1', 'lost 1']), waitOptions);
  await vi.waitFor(() => expect(link.errors).toContain('wrong_node'), waitOptions);
  expect(other.receivedTypes).toEqual([]);
  expect(link.connection).toBeUndefined();
});

test('a slow link is not suspected', async () => {
  const { link, relay, peer } = await createActiveLink();
  relay.setDelay(100);
  await vi.waitFor(() => expect(peer.receivedTypes.filter((t) => t === 'ping').length).toBeGreaterThan(4), waitOptions);
  expect(link.events).toEqual(['up 1']);
});
