/** Detection of poison requests from the crash records of several entries, in any order. */
import fc from 'fast-check';
import { expect, test } from 'vitest';
import {
  createCrashHistory, ManualClock, parseCrashRecord, withAnswerAfterCrash, withBegunParts,
  withCrash,
  type CrashRecord,
} from '@verbenashunt/core';

const crashOf = (target: string, fingerprints: readonly string[]) => ({
  target, fingerprints, at: 0, unbegun: [],
});

const recordOf = (fingerprint: string, targets: string[]) => targets
  .reduce<CrashRecord | undefined>(
    (record, target) => withCrash(record, crashOf(target, [fingerprint])),
    undefined,
  )!;

function setUp() {
  const clock = new ManualClock();
  return { clock, history: createCrashHistory(clock) };
}

test('a request is poison after three targets crashed, seen by any entries', () => {
  const { history } = setUp();
  history.put('entry-1', recordOf('f', ['a']));
  history.put('entry-2', recordOf('f', ['b']));
  expect(history.isPoison('f')).toBe(false);
  history.put('entry-3', recordOf('f', ['c']));
  expect([history.isPoison('f'), history.isPoison('g')]).toEqual([true, false]);
});

test('a crash that several entries saw counts once', () => {
  const { history } = setUp();
  ['entry-1', 'entry-2', 'entry-3'].forEach((entry) => history.put(entry, recordOf('f', ['a'])));
  expect(history.isPoison('f')).toBe(false);
});

test('an answer clears a request of earlier crashes but not of later ones', () => {
  const { history } = setUp();
  const crashed = recordOf('f', ['a', 'b', 'c']);
  history.put('entry-1', crashed);
  history.put('entry-2', withAnswerAfterCrash(undefined, { fingerprint: 'f', targets: ['a', 'b', 'c'] }));
  expect(history.isPoison('f')).toBe(false);
  history.put('entry-1', recordOf('f', ['a', 'b', 'c', 'd', 'e', 'g']));
  expect(history.isPoison('f')).toBe(true);
});

test('a record expires ten minutes after its last update', () => {
  const { clock, history } = setUp();
  history.put('entry-1', recordOf('f', ['a', 'b', 'c']));
  clock.advance(599_000);
  expect(history.isPoison('f')).toBe(true);
  clock.advance(1001);
  expect(history.isPoison('f')).toBe(false);
});

test('a record keeps the newest crashes and fits into a row', () => {
  const many = Array.from({ length: 400 }, (_, i) => `f${i}`);
  const record = Array.from({ length: 30 }, (_, i) => `target-${i}`)
    .reduce<CrashRecord | undefined>(
      (before, target) => withCrash(before, crashOf(target, many)),
      undefined,
    )!;
  expect(record.crashes.map(({ target }) => target)).toEqual([
    'target-25', 'target-26', 'target-27', 'target-28', 'target-29',
  ]);
  expect(JSON.stringify(record).length).toBeLessThan(48_000);
});

test('a record with the longest names fits into a row of the store', () => {
  const names = (prefix: string, count: number) => Array
    .from({ length: count }, (_, i) => `${prefix}${i}`.padEnd(40, 'x'));
  const parts = names('part-', 8);
  const record = names('target-', 60).reduce<CrashRecord | undefined>((before, target) => {
    const crash = {
      target,
      fingerprints: names('f', 100),
      at: 1e12,
      unbegun: Array.from({ length: 40 }, (_, i) => ({ parts, sentAt: 1e12 + i })),
    };
    const answer = { fingerprint: target, targets: names('target-', 60) };
    return withBegunParts(
      withAnswerAfterCrash(withCrash(before, crash), answer),
      names(`begun-${target}`, 20).map((part) => ({ part, at: 1e12 })),
    );
  }, undefined)!;
  expect(JSON.stringify(record).length).toBeLessThan(60_000);
  expect(record.crashes.at(-1)!.target).toBe(names('target-', 60).at(-1));
  expect([record.acquittals.length, record.begun.length].every((length) => length > 0)).toBe(true);
});

test('unknown and invalid parts of a row are ignored', () => {
  expect(parseCrashRecord(undefined)).toEqual({ crashes: [], acquittals: [], begun: [] });
  expect(parseCrashRecord({
    crashes: [{ target: 'a', fingerprints: ['f'], later: 1 }, { target: 1 }, null, 'x'],
    acquittals: 7,
  })).toEqual({ crashes: [crashOf('a', ['f'])], acquittals: [], begun: [] });
});

test('reordered and repeated records give the same result', () => {
  const targets = ['a', 'b', 'c', 'd'];
  const step = fc.record({
    entry: fc.constantFrom('entry-1', 'entry-2'),
    target: fc.constantFrom(...targets),
    isAnswer: fc.boolean(),
  });
  fc.assert(fc.property(fc.array(step, { maxLength: 12 }), (steps) => {
    const records = new Map<string, CrashRecord>();
    const versions = steps.map(({ entry, target, isAnswer }) => {
      const before = records.get(entry);
      const after = isAnswer
        ? withAnswerAfterCrash(before, { fingerprint: 'f', targets: [target] })
        : withCrash(before, crashOf(target, ['f']));
      records.set(entry, after);
      return { entry, record: after };
    });
    const fromLast = setUp().history;
    records.forEach((record, entry) => fromLast.put(entry, record));
    const fromAll = setUp().history;
    [...versions, ...versions].forEach(({ entry, record }) => fromAll.put(entry, record));
    expect(fromAll.targetsOf('f').sort()).toEqual(fromLast.targetsOf('f').sort());
  }), { seed: 20261204, numRuns: 300 });
});
