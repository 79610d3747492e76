/** Failure detector with passed-in time. */
import { expect, test } from 'vitest';
import {
  afterAwake, createDetector, createStallMeter, ManualClock, type Detector,
} from '@verbenashunt/core';
import { choosePings } from '@verbenashunt/wire';

const tickMs = 50;

/** Ticks until the detector suspects; returns the time, or undefined at `untilMs`. */
function suspectedAt(detector: Detector, fromMs: number, untilMs: number) {
  for (let now = fromMs; now <= untilMs; now += tickMs) {
    const verdict = detector.tick(now, true, 0);
    if (verdict === 'suspect') return now;
    if (verdict === 'due') detector.ping(now);
  }
  return undefined;
}

/** Answers pings after `rttMs(i)` for a while. */
function exercise(detector: Detector, pings: number, rttMs: (i: number) => number) {
  let now = 0;
  for (let i = 0; i < pings; now += tickMs) {
    if (detector.tick(now, true, 0) === 'due') {
      const n = detector.ping(now);
      now += rttMs(i);
      detector.heard(now);
      detector.pong(n, now);
      i += 1;
    }
  }
  return now;
}

test('silence is suspect within 600 ms on a fast link', () => {
  const detector = createDetector(0);
  const from = exercise(detector, 20, () => 1);
  expect(suspectedAt(detector, from, from + 5000)! - from).toBeLessThanOrEqual(600);
});

test('no suspicion while pings are answered', () => {
  const detector = createDetector(0);
  exercise(detector, 500, (i) => 1 + (i % 7) * 20);
  expect(detector.timeoutMs).toBeGreaterThanOrEqual(300);
});

test('the time-out follows slow round trips', () => {
  const detector = createDetector(0);
  exercise(detector, 100, (i) => (i % 2 ? 150 : 250));
  expect(detector.timeoutMs).toBeGreaterThan(300);
  expect(detector.timeoutMs).toBeLessThanOrEqual(1000);
});

test('an own stall is not blamed on the peer', () => {
  const blind = createDetector(0);
  expect(blind.tick(50, true, 0)).toBe('wait');
  expect(blind.tick(250, true, 0)).toBe('due');
  blind.ping(250);
  expect(blind.tick(3000, true, 0)).toBe('suspect');
  const aware = createDetector(0);
  aware.ping(250);
  expect(aware.tick(3000, true, 2700)).toBe('wait');
  expect(suspectedAt(aware, 3050, 9000)).toBeLessThanOrEqual(3600);
});

test('one-way loss is suspect although the peer is heard', () => {
  const detector = createDetector(0);
  let at: number | undefined;
  for (let now = 0; now <= 10_000 && at === undefined; now += tickMs) {
    detector.heard(now);
    const verdict = detector.tick(now, true, 0);
    if (verdict === 'due') detector.ping(now);
    if (verdict === 'suspect') at = now;
  }
  expect(at).toBeLessThanOrEqual(1000 + 4 * 300 + 2 * tickMs);
});

test('an unused connection is pinged ten times less often', () => {
  const count = (active: boolean) => {
    const detector = createDetector(0);
    let pings = 0;
    for (let now = 0; now < 60_000; now += tickMs) {
      if (detector.tick(now, active, 0) === 'due') {
        pings += 1;
        detector.heard(now);
        detector.pong(detector.ping(now), now);
      }
    }
    return pings;
  };
  expect(count(false)).toBeLessThanOrEqual(30);
  expect(count(true)).toBeGreaterThanOrEqual(280);
});

test('pings of one tick go to the last used and the longest silent', () => {
  const due = Array.from({ length: 100 }, (_, i) => ({
    node: i, connection: { lastUsedAt: i, lastReceivedAt: (i * 37) % 100 },
  }));
  expect(choosePings(due, 4).map(({ node }) => node)).toEqual([99, 98, 0, 73]);
  expect(choosePings(due.slice(0, 3), 4)).toHaveLength(3);
});

test('stall meter', () => {
  const meter = createStallMeter(0, tickMs);
  expect([50, 110, 1160, 1210].map(meter.measure)).toEqual([0, 0, 1000, 0]);
});

test('a timer that fired late is armed again', () => {
  const clock = new ManualClock();
  let fired = 0;
  const late = { ...clock, now: () => clock.now() * 3, after: clock.after.bind(clock) };
  afterAwake({ ...late, wall: () => 0 }, 100, () => {
    fired += 1;
  });
  clock.advance(100);
  expect(fired).toBe(0);
  afterAwake(clock, 100, () => {
    fired += 1;
  });
  clock.advance(100);
  expect(fired).toBe(1);
});
