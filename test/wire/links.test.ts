/** Links between two peers through a relay that cuts, swallows and delays. */
import {
  afterEach, expect, test, vi,
} from 'vitest';
import { createRelay } from '../support/relay.js';
import { dialPeer, startPeer } from '../support/peers.js';

const within = { timeout: 20_000, interval: 10 };
const closers: (() => unknown)[] = [];
const own = <T extends { close(): unknown }>(thing: T): T => {
  closers.push(() => thing.close());
  return thing;
};

afterEach(async () => {
  await Promise.all(closers.splice(0).map((close) => close()));
});

/** A link in use: a message that is no ping has just gone over it. */
async function linked() {
  const peer = own(await startPeer());
  const relay = own(await createRelay(peer.port));
  const link = own(dialPeer(relay.port));
  await vi.waitFor(() => expect(link.events).toEqual(['up 1']), within);
  link.connection!.send({ t: 'configAsk', revision: 0 });
  return { peer, relay, link };
}

test('a swallowed connection is resumed on a second one', async () => {
  const { link, relay } = await linked();
  relay.swallow();
  await vi.waitFor(() => expect(link.events).toEqual(['up 1', 'resumed 1']), within);
  await vi.waitFor(() => expect(relay.open).toBe(1), within);
});

test('swallowed one way', async () => {
  const { link, relay } = await linked();
  relay.swallow({ direction: 'up' });
  await vi.waitFor(() => expect(link.events).toEqual(['up 1', 'resumed 1']), within);
});

test('a reset is resumed when the same incarnation answers', async () => {
  const { link, relay } = await linked();
  relay.cut();
  await vi.waitFor(() => expect(link.events).toEqual(['up 1', 'resumed 1']), within);
});

test('a peer that is silent everywhere is lost, and comes up after the heal', async () => {
  const { link, relay } = await linked();
  relay.swallow({ later: true });
  await vi.waitFor(() => expect(link.events).toEqual(['up 1', 'lost 1']), within);
  relay.heal();
  await vi.waitFor(() => expect(link.events).toEqual(['up 1', 'lost 1', 'up 1']), within);
});

test('a closed port is a lost peer at once', async () => {
  const peer = await startPeer();
  const link = own(dialPeer(peer.port));
  await vi.waitFor(() => expect(link.events).toEqual(['up 1']), within);
  peer.close();
  await vi.waitFor(() => expect(link.events).toEqual(['up 1', 'lost 1']), within);
});

test('a newer incarnation is another peer', async () => {
  const { link, relay } = await linked();
  const restarted = own(await startPeer({ incarnation: 2 }));
  relay.retarget(restarted.port);
  relay.cut();
  await vi.waitFor(() => expect(link.events).toEqual(['up 1', 'lost 1', 'up 2']), within);
});

test('another node at the address is not admitted', async () => {
  const { link, relay } = await linked();
  const other = own(await startPeer({ node: 'agent-2', incarnation: 1 }));
  relay.retarget(other.port);
  relay.cut();
  await vi.waitFor(() => expect(link.events).toEqual(['up 1', 'lost 1']), within);
  await vi.waitFor(() => expect(link.errors).toContain('wrong_node'), within);
  expect(other.heard).toEqual([]);
  expect(link.connection).toBeUndefined();
});

test('a slow link is not suspect', async () => {
  const { link, relay, peer } = await linked();
  relay.delay(100);
  await vi.waitFor(() => expect(peer.heard.filter((t) => t === 'ping').length).toBeGreaterThan(4), within);
  expect(link.events).toEqual(['up 1']);
});
