/** Which requests a stopping entry still accepts, and when refused callers should retry. */
import { expect, test } from 'vitest';
import { ManualClock } from '@verbenashunt/core';
import {
  acceptMsAtStop, createStopping, createStreamDurations, isTooLate, isTooLateToSend,
  stoppingRetryMs, stopMarginMs,
} from '@verbenashunt/gateway';

const stopWindow = { startedAt: 1000, graceMs: 8000 };
const latestEnd = stopWindow.startedAt + stopWindow.graceMs - stopMarginMs;

const stream = { kind: 'stream' as const, expiresAt: stopWindow.startedAt + 20_000 };

/** Whether a stream is too late so many milliseconds into the grace time. */
const isStreamTooLate = (afterMs: number, expectedMs = 0, expiresAt = stream.expiresAt) => (
  isTooLate({ ...stream, expiresAt }, stopWindow.startedAt + afterMs, stopWindow, expectedMs));

test.each(['idempotent', 'once'] as const)('a call is accepted if its deadline is before the end of the grace time: %s', (kind) => {
  const isCallTooLate = (expiresAt: number) => (
    isTooLate({ kind, expiresAt }, latestEnd - 1500, stopWindow, 0));
  expect(isCallTooLate(latestEnd)).toBe(false);
  expect(isCallTooLate(latestEnd + 1)).toBe(true);
});

// Guards against a waiting request that is looked at just before its time, and then never again.
test('what waits is too late when it is looked at, though timers fire early', () => {
  const clock = new ManualClock();
  const early = {
    now: () => clock.now(),
    wall: () => clock.wall(),
    after: (ms: number, callback: () => void) => clock.after(ms - 0.5, callback),
  };
  const stopping = createStopping({
    clock: early,
    random: () => 0,
    durations: createStreamDurations(),
    graceMs: () => stopWindow.graceMs,
    nextEntryMs: () => 0,
  });
  const start = clock.now();
  let lookedAt = NaN;
  stopping.start(() => {
    lookedAt = clock.now();
  });
  clock.advance(stopWindow.graceMs);
  const window = { ...stopWindow, startedAt: start };
  const waiting = { kind: 'once' as const, expiresAt: Infinity };
  expect(isTooLateToSend(waiting, lookedAt, window, 0)).toBe(true);
});

test('an accepted call is sent early in the grace time, and later only if its deadline is in time', () => {
  const isCallTooLate = (afterMs: number, expiresAt: number) => isTooLateToSend(
    { kind: 'once', expiresAt },
    stopWindow.startedAt + afterMs,
    stopWindow,
    0,
  );
  expect(isCallTooLate(2000, latestEnd + 1)).toBe(false);
  expect(isCallTooLate(3300, latestEnd + 1)).toBe(true);
  expect(isCallTooLate(3300, latestEnd)).toBe(false);
});

test('a stream is accepted early in the grace time, as its caller does not know of the stop yet', () => {
  expect(isStreamTooLate(2000)).toBe(false);
});

test('a stream is refused at any time of the stop if it is expected to last beyond its end', () => {
  expect(isStreamTooLate(1000, 6500)).toBe(false);
  expect(isStreamTooLate(1000, 6501)).toBe(true);
});

test('a stream whose deadline is before the end of the grace time is accepted', () => {
  expect(isStreamTooLate(3700, 9000, latestEnd)).toBe(false);
});

test('the expected duration is that of three in four of the latest streams of a route', () => {
  const durations = createStreamDurations();
  [100, 200, 300].forEach((ms) => durations.record('a', ms));
  expect(durations.expectedMs('a')).toBe(0);
  [400, 500].forEach((ms) => durations.record('a', ms));
  expect(durations.expectedMs('a')).toBe(400);
  Array.from({ length: 40 }).forEach(() => durations.record('a', 50));
  expect(durations.expectedMs('a')).toBe(50);
  expect(durations.expectedMs('b')).toBe(0);
});

test.each([3300, 3700])('a stream that arrives %i ms into the grace time is refused', (afterMs) => {
  // Streams accepted this late took 3.8 s or longer and were cut off when the grace time ended.
  expect(isStreamTooLate(afterMs)).toBe(true);
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
