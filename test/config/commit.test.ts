/**
 * Commands committed to the table service: each takes effect at most once, conflicts name the
 * winning command, and outcomes are found after lost responses. A command takes two writes: the
 * first records the command, the second commits it.
 */
import { expect, test } from 'vitest';
import { verifyHistory } from '@verbenashunt/core';
import {
  applyCommand, createTestEntry, declarationsOfSize, drainCommand, undrainCommand,
} from '../support/config.js';
import { createFakePlatform } from '../support/fake-platform.js';

async function createTwoEntries() {
  const platform = createFakePlatform();
  const [a, b] = [createTestEntry(platform), createTestEntry(platform)];
  const first = applyCommand('c-1', a.config, declarationsOfSize(3));
  expect(await a.store.submit(first, 'founder')).toEqual({ outcome: 'accepted', revision: 1 });
  await b.store.catchUp();
  return { platform, a, b };
}

test('a repeated command returns the outcome of the first', async () => {
  const { a, b } = await createTwoEntries();
  const drain = drainCommand('c-2', 1, 't-1');
  expect(await a.store.submit(drain, 'founder')).toEqual({ outcome: 'accepted', revision: 2 });
  expect(await b.store.submit(drain, 'founder')).toEqual({ outcome: 'accepted', revision: 2 });
  expect(await b.store.submit(drain, 'night')).toMatchObject({ outcome: 'refused', code: 'command_reused' });
  expect((await a.store.history()).records).toHaveLength(2);
});

test('of concurrent drain and undrain one wins and the other is refused with the winner', async () => {
  const { a, b } = await createTwoEntries();
  await a.store.submit(drainCommand('c-2', 1, 't-1'), 'founder');
  const [x, y] = await Promise.all([
    a.store.submit(undrainCommand('c-3', 2, 't-1'), 'founder'),
    b.store.submit(drainCommand('c-4', 2, 't-1'), 'night'),
  ]);
  const [won, lost] = x.outcome === 'accepted' ? [x, y] : [y, x];
  expect(won).toEqual({ outcome: 'accepted', revision: 3 });
  expect(lost).toMatchObject({ outcome: 'refused', code: 'conflict', winner: { revision: 3, item: 'drain/t-1' } });
  expect(lost.winner!.operator).toBe(x === won ? 'founder' : 'night');
});

test('commands on different items are both accepted on the same base revision', async () => {
  const { a, b } = await createTwoEntries();
  const outcomes = await Promise.all([
    a.store.submit(drainCommand('c-2', 1, 't-1'), 'founder'),
    b.store.submit(drainCommand('c-3', 1, 't-2'), 'night'),
  ]);
  expect(outcomes.map(({ outcome }) => outcome)).toEqual(['accepted', 'accepted']);
  await Promise.all([a.store.catchUp(), b.store.catchUp()]);
  expect([...a.config.view!.operations.drains.keys()].sort()).toEqual(['t-1', 't-2']);
  expect(b.config.record).toBe(a.config.record);
});

test('a drain of a target that was removed since its base revision is refused', async () => {
  const { a, b } = await createTwoEntries();
  const drain = drainCommand('c-3', 1, 't-3');
  await a.store.submit(applyCommand('c-2', a.config, declarationsOfSize(2)), 'founder');
  expect(await b.store.submit(drain, 'night')).toMatchObject({ outcome: 'refused', code: 'not_valid' });
});

test.each(['lose-answer', 'lose-request', 'delay'] as const)('a commit with fault %s takes effect once', async (fault) => {
  const { platform, a, b } = await createTwoEntries();
  const writesBefore = platform.writes;
  platform.beforeWrite = () => {
    if (platform.writes === writesBefore + 2) platform.faults = [fault];
  };
  const outcome = await a.store.submit(drainCommand('c-2', 1, 't-1'), 'founder');
  platform.beforeWrite = undefined;
  platform.release();
  expect(outcome).toEqual({ outcome: 'accepted', revision: 2 });
  const { records, head } = await b.store.history();
  expect(records).toHaveLength(2);
  expect(verifyHistory(records, head)).toBeUndefined();
});

test('after a lost response a superseded commit is accepted and a conflicting one refused', async () => {
  const { platform, a, b } = await createTwoEntries();
  const writesBefore = platform.writes;
  platform.beforeWrite = async () => {
    if (platform.writes !== writesBefore + 2) return;
    platform.beforeWrite = undefined;
    platform.faults = ['lose-answer'];
    // The other entry commits the next revision as soon as the table service answers it.
    setImmediate(() => b.store.submit(drainCommand('c-9', 1, 't-2'), 'night'));
  };
  expect(await a.store.submit(drainCommand('c-2', 1, 't-1'), 'founder')).toMatchObject({ outcome: 'accepted' });
  expect((await a.store.resolveCommand('c-2'))!.outcome).toMatchObject({ outcome: 'accepted' });

  const writesBeforeC3 = platform.writes;
  platform.beforeWrite = async () => {
    if (platform.writes !== writesBeforeC3 + 2) return;
    platform.beforeWrite = undefined;
    platform.faults = ['lose-answer'];
    await b.store.submit(undrainCommand('c-10', 3, 't-1'), 'night').catch(() => {});
  };
  const outcome = await a.store.submit(drainCommand('c-3', 3, 't-1'), 'founder');
  expect(outcome).toMatchObject({ outcome: 'refused', winner: { operator: 'night', commandId: 'c-10' } });
});

test('an outage before the commit refuses the command; one after it leaves the outcome unknown', async () => {
  const { platform, a, b } = await createTwoEntries();
  platform.outage = true;
  expect(await a.store.submit(drainCommand('c-2', 1, 't-1'), 'founder')).toMatchObject({ outcome: 'refused', code: 'platform_unavailable' });
  platform.outage = false;
  expect(await a.store.resolveCommand('c-2')).toBeUndefined();

  const writesBefore = platform.writes;
  platform.beforeWrite = () => {
    if (platform.writes !== writesBefore + 2) return;
    platform.faults = ['lose-answer'];
    setImmediate(() => {
      platform.outage = true;
    });
  };
  const originalGet = platform.get;
  platform.get = async (...args) => {
    await new Promise((resolve) => {
      setImmediate(resolve);
    });
    return originalGet(...args);
  };
  expect(await a.store.submit(drainCommand('c-3', 1, 't-1'), 'founder')).toMatchObject({ outcome: 'unknown' });
  platform.outage = false;
  platform.beforeWrite = undefined;
  expect((await b.store.resolveCommand('c-3'))!.outcome).toEqual({ outcome: 'accepted', revision: 2 });
});

test('a command marked as abandoned cannot take effect later', async () => {
  const { platform, a, b } = await createTwoEntries();
  const writesBefore = platform.writes;
  platform.beforeWrite = async () => {
    if (platform.writes !== writesBefore + 2) return;
    platform.beforeWrite = undefined;
    expect((await b.store.resolveCommand('c-2'))!.outcome).toMatchObject({ outcome: 'refused', code: 'abandoned' });
  };
  expect(await a.store.submit(drainCommand('c-2', 1, 't-1'), 'founder')).toMatchObject({ outcome: 'refused', code: 'abandoned' });
  await b.store.catchUp();
  expect(b.config.revision).toBe(1);
});

test('history verification detects tampering with any record', async () => {
  const { platform, a } = await createTwoEntries();
  await a.store.submit(drainCommand('c-2', 1, 't-1'), 'founder');
  const key = `revision/${'1'.padStart(12, '0')}`;
  const original = platform.value('config', key)!;
  platform.overwrite('config', key, original.replace('founder', 'someone'));
  const { records, head } = await a.store.history();
  expect(verifyHistory(records, head)).toMatchObject({ revision: 2 });
  platform.overwrite('config', key, original.replace('"v1', '"v9'));
  expect(verifyHistory((await a.store.history()).records, head)).toMatchObject({ revision: 1 });
  platform.overwrite('config', key, original);
  expect(verifyHistory((await a.store.history()).records, head)).toBeUndefined();
  expect(verifyHistory(records.slice(0, 1), head)).toBeDefined();
});
