/** Which requests are taken to crash targets, by what entries record in any order. */
import fc from 'fast-check';
import { expect, test } from 'vitest';
import {
  createCrashBook, ManualClock, validCrashRecord, withAcquittal, withCrash, type CrashRecord,
} from '@verbenashunt/core';

const crashesOf = (fingerprint: string, targets: string[]) => targets
  .reduce<CrashRecord | undefined>((record, target) => withCrash(record, {
    target, fingerprints: [fingerprint],
  }), undefined)!;

function begin() {
  const clock = new ManualClock();
  return { clock, book: createCrashBook(clock) };
}

test('three targets, whichever entries saw them crash', () => {
  const { book } = begin();
  book.put('entry-1', crashesOf('f', ['a']));
  book.put('entry-2', crashesOf('f', ['b']));
  expect(book.isPoison('f')).toBe(false);
  book.put('entry-3', crashesOf('f', ['c']));
  expect([book.isPoison('f'), book.isPoison('g')]).toEqual([true, false]);
});

test('one crash that several entries saw counts once', () => {
  const { book } = begin();
  ['entry-1', 'entry-2', 'entry-3'].forEach((entry) => book.put(entry, crashesOf('f', ['a'])));
  expect(book.isPoison('f')).toBe(false);
});

test('an answer since speaks for the request, until others crash', () => {
  const { book } = begin();
  const crashed = crashesOf('f', ['a', 'b', 'c']);
  book.put('entry-1', crashed);
  book.put('entry-2', withAcquittal(undefined, { fingerprint: 'f', targets: ['a', 'b', 'c'] }));
  expect(book.isPoison('f')).toBe(false);
  book.put('entry-1', crashesOf('f', ['a', 'b', 'c', 'd', 'e', 'g']));
  expect(book.isPoison('f')).toBe(true);
});

test('forgotten after ten minutes without a change', () => {
  const { clock, book } = begin();
  book.put('entry-1', crashesOf('f', ['a', 'b', 'c']));
  clock.advance(599_000);
  expect(book.isPoison('f')).toBe(true);
  clock.advance(1001);
  expect(book.isPoison('f')).toBe(false);
});

test('a record keeps the newest and stays inside a row', () => {
  const many = Array.from({ length: 400 }, (_, i) => `f${i}`);
  const record = Array.from({ length: 30 }, (_, i) => `target-${i}`)
    .reduce<CrashRecord | undefined>((before, target) => withCrash(before, {
      target, fingerprints: many,
    }), undefined)!;
  expect(record.crashes.map(({ target }) => target)).toEqual([
    'target-25', 'target-26', 'target-27', 'target-28', 'target-29',
  ]);
  expect(JSON.stringify(record).length).toBeLessThan(48_000);
});

test('rows of other versions are read as far as they go', () => {
  expect(validCrashRecord(undefined)).toEqual({ crashes: [], acquittals: [] });
  expect(validCrashRecord({
    crashes: [{ target: 'a', fingerprints: ['f'], later: 1 }, { target: 1 }, null, 'x'],
    acquittals: 7,
  })).toEqual({ crashes: [{ target: 'a', fingerprints: ['f'] }], acquittals: [] });
});

test('the order of records and their repeats make no difference', () => {
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
        ? withAcquittal(before, { fingerprint: 'f', targets: [target] })
        : withCrash(before, { target, fingerprints: ['f'] });
      records.set(entry, after);
      return { entry, record: after };
    });
    const last = begin().book;
    records.forEach((record, entry) => last.put(entry, record));
    const each = begin().book;
    [...versions, ...versions].forEach(({ entry, record }) => each.put(entry, record));
    expect(each.targetsOf('f').sort()).toEqual(last.targetsOf('f').sort());
  }), { seed: 20261204, numRuns: 300 });
});
