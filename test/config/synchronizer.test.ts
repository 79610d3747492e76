/** Synchronisation of configuration between processes when messages are late, repeated or lost. */
import { expect, test } from 'vitest';
import { createConfigHolder, createConfigSynchronizer, type ConfigSynchronizer } from '@verbenashunt/core';
import { choosePeerEntries, headPollIntervalMs } from '@verbenashunt/entry';
import type { Message, Vm } from '@verbenashunt/schema';
import {
  applyCommand, createTestEntry, declarationsOfSize, drainCommand, undrainCommand,
} from '../support/config.js';
import { createFakePlatform } from '../support/fake-platform.js';

/** Commits revisions 1 to 4 and returns their records. */
async function commitRevisions() {
  const platform = createFakePlatform();
  const { config, store } = createTestEntry(platform);
  await store.submit(applyCommand('c-1', config, declarationsOfSize(2)), 'founder');
  await store.submit(drainCommand('c-2', 1, 't-1'), 'founder');
  await store.submit(undrainCommand('c-3', 2, 't-1'), 'founder');
  await store.submit(drainCommand('c-4', 3, 't-2'), 'founder');
  return { config, records: (await store.history()).records };
}

const configMessage = (record: string): Message => ({
  t: 'config', revision: (JSON.parse(record) as { revision: number }).revision, record,
});

/** Delivers a message, then every reply to it in turn. */
function deliver(to: ConfigSynchronizer, from: ConfigSynchronizer, message: Message) {
  to.receive(message, (reply) => deliver(from, to, reply));
}

test('late and repeated revisions never revert a process', async () => {
  const { records } = await commitRevisions();
  const seen: number[] = [];
  const holder = createConfigHolder(({ revision }) => seen.push(revision));
  const synchronizer = createConfigSynchronizer(holder);
  const states = records.map((_, i) => {
    const earlier = createConfigHolder(() => {});
    records.slice(0, i + 1).forEach((text) => earlier.offer(text));
    return earlier.stateText()!;
  });
  const receive = (revision: number, record: string) => synchronizer
    .receive({ t: 'config', revision, record }, () => {});
  const order = [0, 1, 0, 2, 1, 3, 0, 2, 3];
  order.forEach((i) => {
    receive(i + 1, records[i]!);
    receive(i + 1, states[i]!);
  });
  expect(seen).toEqual([1, 2, 3, 4]);
  expect([...holder.view!.operations.drains.keys()]).toEqual(['t-2']);
});

test('a process that missed revisions is updated from any earlier revision', async () => {
  const { config, records } = await commitRevisions();
  const ahead = createConfigSynchronizer(config);
  [0, 1, 2, 3].forEach((known) => {
    const holder = createConfigHolder(() => {});
    records.slice(0, known).forEach((text) => holder.offer(text));
    const behind = createConfigSynchronizer(holder);
    deliver(behind, ahead, configMessage(records[3]!));
    expect(holder.record).toBe(config.record);
    expect([...holder.items].sort()).toEqual([...config.items].sort());
  });
});

test('a process whose items differ receives the whole state', async () => {
  const { config, records } = await commitRevisions();
  const other = createTestEntry(createFakePlatform());
  await other.store.submit(applyCommand('x-1', other.config, declarationsOfSize(1)), 'founder');
  await other.store.submit(drainCommand('x-2', 1, 't-1'), 'founder');
  await other.store.submit(undrainCommand('x-3', 2, 't-1'), 'founder');
  const [ahead, behind] = [
    createConfigSynchronizer(config), createConfigSynchronizer(other.config),
  ];
  deliver(behind, ahead, configMessage(records[3]!));
  expect(other.config.record).toBe(config.record);
});

test('a state that does not match its hash is rejected', async () => {
  const { config } = await commitRevisions();
  const holder = createConfigHolder(() => {});
  expect(() => holder.offer(config.stateText()!.replace('t-2', 't-7'))).toThrow('does not match its hash');
  expect(holder.revision).toBe(0);
});

test('a zone reads the head at most twice per poll interval, whatever its number of entries', () => {
  const reads = [1, 2, 10, 100].map((n) => n * (1000 / headPollIntervalMs(1000, n)));
  expect(reads).toEqual([1, 2, 2, 2]);
});

test('three dialled peers per entry connect all 380 entries', () => {
  const vms = Array.from({ length: 380 }, (_, i): Vm => ({
    id: `entry-${i}`, role: 'entry', zone: `z-${i % 23}`, region: 'r', host: '127.0.0.1', port: 1 + i, state: 'live',
  }));
  const links = vms.flatMap(({ id }) => choosePeerEntries(id, vms)
    .map((to) => [id, to.id] as const));
  expect(links).toHaveLength(380 * 3);
  const neighbours = new Map(vms.map(({ id }) => [id, links.flatMap(([a, b]) => {
    if (a === id) return [b];
    return b === id ? [a] : [];
  })]));
  const hops = new Map([['entry-0', 0]]);
  [...Array(8).keys()].forEach((hop) => [...hops].filter(([, h]) => h === hop)
    .flatMap(([id]) => neighbours.get(id)!)
    .filter((id) => !hops.has(id))
    .forEach((id) => hops.set(id, hop + 1)));
  expect(hops.size).toBe(380);
});
