/** What an entry that stops still begins. */
import { expect, test } from 'vitest';
import { isTooLate, stoppingRetryMs, stopMarginMs } from '@verbenashunt/gateway';

const window = { startedAt: 1000, graceMs: 8000 };
const end = window.startedAt + window.graceMs - stopMarginMs;

const stream = (afterMs: number) => ({
  kind: 'stream' as const,
  arrivedAt: window.startedAt + afterMs,
  expiresAt: window.startedAt + 20_000,
});

test.each(['idempotent', 'once'] as const)('a call is begun while its deadline lies before the end: %s', (kind) => {
  const call = { kind, arrivedAt: end - 1500 };
  expect(isTooLate({ ...call, expiresAt: end }, window)).toBe(false);
  expect(isTooLate({ ...call, expiresAt: end + 1 }, window)).toBe(true);
});

test('a stream is begun early in the grace time, as its caller does not know yet', () => {
  expect(isTooLate(stream(2000), window)).toBe(false);
});

test.each([3300, 3700])('a stream that comes late is not: %i ms', (afterMs) => {
  // Both took 3.8 s and longer, and were cut off at the end of the grace time.
  expect(isTooLate(stream(afterMs), window)).toBe(true);
});

test('refused callers come back at once where another entry serves', () => {
  expect(stoppingRetryMs(0, 8000, 0.9)).toBe(100);
});

test('where none serves, they come back spread over the second after the first is back', () => {
  const waits = [0, 0.5, 0.99].map((share) => stoppingRetryMs(3000, 8000, share));
  expect(waits).toEqual([3000, 3500, 3990]);
  expect(stoppingRetryMs(Infinity, 8000, 0)).toBe(8000);
});
