/** What an entry that stops still begins. */
import { expect, test } from 'vitest';
import { createStreamDurations, isTooLate, stopMarginMs } from '@verbenashunt/gateway';

const window = { startedAt: 1000, graceMs: 8000 };
const end = window.startedAt + window.graceMs - stopMarginMs;

const stream = (afterMs: number) => ({
  kind: 'stream' as const,
  arrivedAt: window.startedAt + afterMs,
  expiresAt: window.startedAt + 20_000,
});

test.each(['idempotent', 'once'] as const)('a call is begun while its deadline lies before the end: %s', (kind) => {
  const call = { kind, arrivedAt: end - 1500 };
  expect(isTooLate({ ...call, expiresAt: end }, window, 9000)).toBe(false);
  expect(isTooLate({ ...call, expiresAt: end + 1 }, window, 9000)).toBe(true);
});

test('a stream that comes late is begun if streams as they run at present end in time', () => {
  // Begun 3.3 s after the signal, taking 4.3 s, one was cut off at the end of the grace time.
  expect(isTooLate(stream(3300), window, 4300)).toBe(true);
  expect(isTooLate(stream(3300), window, 3800)).toBe(false);
  expect(isTooLate(stream(3300), window, undefined)).toBe(true);
});

test('a stream that comes early is begun, as its caller does not know yet', () => {
  expect(isTooLate(stream(2000), window, 9000)).toBe(false);
  expect(isTooLate(stream(2000), window, undefined)).toBe(false);
});

test('durations: few are longer than the one that is told, and old ones are forgotten', () => {
  const durations = createStreamDurations();
  expect(durations.long()).toBeUndefined();
  Array.from({ length: 100 }, (_, i) => i + 1).forEach((ms) => durations.add(ms * 10));
  expect(durations.long()).toBe(980);
  Array.from({ length: 50 }).forEach(() => durations.add(20));
  expect(durations.long()).toBe(20);
});
