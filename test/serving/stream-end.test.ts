/** What the end of a stream without a length or chunked encoding means. */
import { expect, test } from 'vitest';
import { meaningOfUnframedEnd, type UnframedEnd } from '@verbenashunt/core';

const firstRun: UnframedEnd = {
  hasEvents: true, lastEventId: 6, earlierEndId: undefined, isAnswerFramed: true,
};

test('a stream without any event has been broken off, however the answer is framed', () => {
  const empty = { ...firstRun, hasEvents: false, lastEventId: undefined };
  expect(meaningOfUnframedEnd(empty)).toBe('broken');
  expect(meaningOfUnframedEnd({ ...empty, isAnswerFramed: false })).toBe('broken');
});

test('one run alone does not show that a stream is whole whose answer marks its end', () => {
  expect(meaningOfUnframedEnd(firstRun)).toBe('unsettled');
});

test('a second run settles the end only if it ends at the same event', () => {
  expect(meaningOfUnframedEnd({ ...firstRun, earlierEndId: 6 })).toBe('whole_if_unharmed');
  expect(meaningOfUnframedEnd({ ...firstRun, earlierEndId: 2 })).toBe('unsettled');
});

test('two runs without event ids settle nothing', () => {
  expect(meaningOfUnframedEnd({ ...firstRun, lastEventId: undefined })).toBe('unsettled');
});

test('an answer that marks no end either may end as its target did', () => {
  expect(meaningOfUnframedEnd({ ...firstRun, isAnswerFramed: false })).toBe('whole_if_unharmed');
});
