/** Which requests a stopping entry still accepts, and when refused callers should retry. */
import { expect, test } from 'vitest';
import {
  acceptMsAtStop, isTooLate, stoppingRetryMs, stopMarginMs,
} from '@verbenashunt/gateway';

const stopWindow = { startedAt: 1000, graceMs: 8000 };
const latestEnd = stopWindow.startedAt + stopWindow.graceMs - stopMarginMs;

const stream = (afterMs: number) => ({
  kind: 'stream' as const,
  arrivedAt: stopWindow.startedAt + afterMs,
  expiresAt: stopWindow.startedAt + 20_000,
});

test.each(['idempotent', 'once'] as const)('a call is accepted if its deadline is before the end of the grace time: %s', (kind) => {
  const call = { kind, arrivedAt: latestEnd - 1500 };
  expect(isTooLate({ ...call, expiresAt: latestEnd }, stopWindow)).toBe(false);
  expect(isTooLate({ ...call, expiresAt: latestEnd + 1 }, stopWindow)).toBe(true);
});

test('a stream is accepted early in the grace time, as its caller does not know of the stop yet', () => {
  expect(isTooLate(stream(2000), stopWindow)).toBe(false);
});

test.each([3300, 3700])('a stream that arrives %i ms into the grace time is refused', (afterMs) => {
  // Streams accepted this late took 3.8 s or longer and were cut off when the grace time ended.
  expect(isTooLate(stream(afterMs), stopWindow)).toBe(true);
});

test('refused callers retry after 100 ms when another entry serves', () => {
  expect(stoppingRetryMs(0, 8000, 0.9)).toBe(100);
});

test('when no entry serves, retries are spread over the second after the first one returns', () => {
  const delays = [0, 0.5, 0.99].map((share) => stoppingRetryMs(3000, 8000, share));
  expect(delays).toEqual([3000, 3500, 3990]);
  expect(stoppingRetryMs(Infinity, 8000, 0)).toBe(8000);
});

test('waiting connections are accepted for longer where the grace time allows it, but not without end', () => {
  const { startedAt, graceMs } = stopWindow;
  expect(acceptMsAtStop(startedAt, startedAt + 2200, graceMs)).toBe(500);
  expect(acceptMsAtStop(startedAt, latestEnd - 300, graceMs)).toBe(300);
  expect(acceptMsAtStop(startedAt, latestEnd, graceMs)).toBe(100);
});
