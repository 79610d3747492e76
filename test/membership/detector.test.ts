/** Failure detector and stall detection, with simulated time. */
import { expect, test } from 'vitest';
import {
  afterExcludingStalls, createDetector, createStallMeter, ManualClock, type Detector,
} from '@verbenashunt/core';
import { choosePings } from '@verbenashunt/wire';

const tickMs = 50;

/** Ticks until the peer is suspected and returns the time, or undefined after `untilMs`. */
function suspectedAt(detector: Detector, fromMs: number, untilMs: number) {
  for (let now = fromMs; now <= untilMs; now += tickMs) {
    const verdict = detector.tick(now, true, 0);
    if (verdict === 'suspect') return now;
    if (verdict === 'due') detector.startPing(now);
  }
  return undefined;
}

/** Answers `pings` pings, each after `rttMs(i)`; returns the time of the last tick. */
function answerPings(detector: Detector, pings: number, rttMs: (i: number) => number) {
  let now = 0;
  for (let i = 0; i < pings; now += tickMs) {
    if (detector.tick(now, true, 0) === 'due') {
      const n = detector.startPing(now);
      now += rttMs(i);
      detector.received(now);
      detector.pong(n, now);
      i += 1;
    }
  }
  return now;
}

test('a silent peer is suspected within 600 ms on a fast link', () => {
  const detector = createDetector(0);
  const from = answerPings(detector, 20, () => 1);
  expect(suspectedAt(detector, from, from + 5000)! - from).toBeLessThanOrEqual(600);
});

test('a peer that answers pings keeps the timeout at or above its minimum', () => {
  const detector = createDetector(0);
  answerPings(detector, 500, (i) => 1 + (i % 7) * 20);
  expect(detector.timeoutMs).toBeGreaterThanOrEqual(300);
});

test('the timeout grows with slow round trips', () => {
  const detector = createDetector(0);
  answerPings(detector, 100, (i) => (i % 2 ? 150 : 250));
  expect(detector.timeoutMs).toBeGreaterThan(300);
  expect(detector.timeoutMs).toBeLessThanOrEqual(1000);
});

test('a stall of this process does not make the peer suspect', () => {
  const uncorrected = createDetector(0);
  expect(uncorrected.tick(50, true, 0)).toBe('wait');
  expect(uncorrected.tick(250, true, 0)).toBe('due');
  uncorrected.startPing(250);
  expect(uncorrected.tick(3000, true, 0)).toBe('suspect');
  const corrected = createDetector(0);
  corrected.startPing(250);
  expect(corrected.tick(3000, true, 2700)).toBe('wait');
  expect(suspectedAt(corrected, 3050, 9000)).toBeLessThanOrEqual(3600);
});

test('a peer that does not answer pings is suspected even if other bytes arrive', () => {
  const detector = createDetector(0);
  let at: number | undefined;
  for (let now = 0; now <= 10_000 && at === undefined; now += tickMs) {
    detector.received(now);
    const verdict = detector.tick(now, true, 0);
    if (verdict === 'due') detector.startPing(now);
    if (verdict === 'suspect') at = now;
  }
  expect(at).toBeLessThanOrEqual(1000 + 4 * 300 + 2 * tickMs);
});

test('an idle connection is pinged about ten times less often', () => {
  const count = (active: boolean) => {
    const detector = createDetector(0);
    let pings = 0;
    for (let now = 0; now < 60_000; now += tickMs) {
      if (detector.tick(now, active, 0) === 'due') {
        pings += 1;
        detector.received(now);
        detector.pong(detector.startPing(now), now);
      }
    }
    return pings;
  };
  expect(count(false)).toBeLessThanOrEqual(30);
  expect(count(true)).toBeGreaterThanOrEqual(280);
});

test('pings of one tick go to the most recently used and the longest silent connections', () => {
  const due = Array.from({ length: 100 }, (_, i) => ({
    node: i, connection: { lastUsedAt: i, lastReceivedAt: (i * 37) % 100 },
  }));
  expect(choosePings(due, 4).map(({ node }) => node)).toEqual([99, 98, 0, 73]);
  expect(choosePings(due.slice(0, 3), 4)).toHaveLength(3);
});

test('the stall meter ignores ordinary timer lateness', () => {
  const meter = createStallMeter(0, tickMs);
  expect([50, 110, 1160, 1210].map(meter.measure)).toEqual([0, 0, 1000, 0]);
});

test('a timer that fires late is armed again', () => {
  const clock = new ManualClock();
  let fired = 0;
  const late = { ...clock, now: () => clock.now() * 3, after: clock.after.bind(clock) };
  afterExcludingStalls({ ...late, wall: () => 0 }, 100, () => {
    fired += 1;
  });
  clock.advance(100);
  expect(fired).toBe(0);
  afterExcludingStalls(clock, 100, () => {
    fired += 1;
  });
  clock.advance(100);
  expect(fired).toBe(1);
});
