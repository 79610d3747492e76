/** What the end of a stream without a length or chunked encoding means. */
import { expect, test } from 'vitest';
import { meaningOfUnframedEnd, type UnframedEnd } from '@verbenashunt/core';

const firstRun: UnframedEnd = {
  hasEvents: true,
  lastEventId: 6,
  earlierEndId: undefined,
  mustBeSettled: true,
  silenceMs: 0,
  stalledAfterMs: 1000,
};

test('a stream without any event has been broken off, settled or not', () => {
  const empty = { ...firstRun, hasEvents: false, lastEventId: undefined };
  expect(meaningOfUnframedEnd(empty)).toBe('broken');
  expect(meaningOfUnframedEnd({ ...empty, mustBeSettled: false })).toBe('broken');
});

test('one run alone does not show that a stream is whole which another one has to settle', () => {
  expect(meaningOfUnframedEnd(firstRun)).toBe('unsettled');
});

test('a second run settles the end only if it ends at the same event', () => {
  expect(meaningOfUnframedEnd({ ...firstRun, earlierEndId: 6 })).toBe('whole_if_unharmed');
  expect(meaningOfUnframedEnd({ ...firstRun, earlierEndId: 2 })).toBe('unsettled');
});

test('two runs without event ids settle nothing', () => {
  expect(meaningOfUnframedEnd({ ...firstRun, lastEventId: undefined })).toBe('unsettled');
});

test('an end that no other run has to settle is the word of the target, unless it comes late', () => {
  const own = { ...firstRun, mustBeSettled: false };
  expect(meaningOfUnframedEnd({ ...own, silenceMs: 999 })).toBe('whole_if_unharmed');
  expect(meaningOfUnframedEnd({ ...own, silenceMs: 1000 })).toBe('broken');
});

test('an end that two runs agree on may come late', () => {
  const second = { ...firstRun, earlierEndId: 6, silenceMs: 5000 };
  expect(meaningOfUnframedEnd(second)).toBe('whole_if_unharmed');
});
