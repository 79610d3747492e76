/** Admission control by stream progress: simulates load on one engine and counts the outcomes. */
import { expect, test } from 'vitest';
import { createTargetProgress, type StreamProgress } from '@verbenashunt/gateway';

const bounds = { objectiveMs: 500, maxPauseMs: 200 };
/** Time in milliseconds that a caller waits for the first event before it gives up. */
const callerTimeoutMs = 2000;
const eventsPerStream = 60;
/** Duration of one pass in milliseconds: fixed, for each decoding stream, and for a prefill. */
const basePassMs = 20;
const decodeMsPerStream = 3;
const prefillMs = 30;

interface SimulatedStream {
  progress: StreamProgress;
  sentAt: number;
  events: number;
  lastEventAt: number;
  isLate: boolean;
}

interface Outcome {
  onTime: number;
  late: number;
  refused: number;
  timedOut: number;
}

/** Simulates an engine that prefills one prompt per pass and decodes all other streams together. */
function simulate(arrivalsPerS: number, seconds: number, hasAdmission: boolean): Outcome {
  const target = createTargetProgress();
  const outcome: Outcome = {
    onTime: 0, late: 0, refused: 0, timedOut: 0,
  };
  let waiting: SimulatedStream[] = [];
  let decoding: SimulatedStream[] = [];
  let now = 0;
  let arrived = 0;

  function arrive() {
    arrived += 1;
    if (hasAdmission && !target.isOnTime('a', now, bounds)) {
      outcome.refused += 1;
      return;
    }
    waiting.push({
      progress: target.start('a', now), sentAt: now, lastEventAt: now, events: 0, isLate: false,
    });
  }

  function step(stream: SimulatedStream) {
    const waitedMs = now - stream.lastEventAt;
    const limitMs = stream.events === 0 ? bounds.objectiveMs : bounds.maxPauseMs;
    Object.assign(stream, {
      events: stream.events + 1, lastEventAt: now, isLate: stream.isLate || waitedMs > limitMs,
    });
    stream.progress.event(now);
  }

  function timeOut(stream: SimulatedStream) {
    stream.progress.end();
    outcome.timedOut += 1;
  }

  function finish(stream: SimulatedStream) {
    stream.progress.end();
    if (stream.isLate) outcome.late += 1;
    else outcome.onTime += 1;
  }

  const hasTimedOut = ({ lastEventAt }: SimulatedStream) => now - lastEventAt > callerTimeoutMs;
  const isFinished = ({ events }: SimulatedStream) => events >= eventsPerStream;

  while (now < seconds * 1000) {
    const next = waiting.shift();
    now += basePassMs + decodeMsPerStream * decoding.length + (next ? prefillMs : 0);
    while (arrived < (arrivalsPerS * now) / 1000) arrive();
    if (next) decoding.push(next);
    decoding.forEach(step);
    decoding.filter(isFinished).forEach(finish);
    decoding = decoding.filter((stream) => !isFinished(stream));
    waiting.filter(hasTimedOut).forEach(timeOut);
    waiting = waiting.filter((stream) => !hasTimedOut(stream));
  }
  return outcome;
}

test('admits all streams and serves them on time below capacity', () => {
  const { onTime, late, refused } = simulate(3, 60, true);
  expect({ late, refused }).toEqual({ late: 0, refused: 0 });
  expect(onTime).toBeGreaterThan(150);
});

test.each([10, 20, 40])('serves most admitted streams on time at %i arrivals per second', (arrivalsPerS) => {
  const [unlimited, limited] = [false, true]
    .map((hasAdmission) => simulate(arrivalsPerS, 60, hasAdmission));
  expect(unlimited!.onTime).toBeLessThan(0.2 * limited!.onTime);
  expect(limited!.late + limited!.timedOut).toBeLessThan(0.25 * limited!.onTime);
});

test('admits streams again after a burst', () => {
  const target = createTargetProgress();
  const streams = Array.from({ length: 5 }, () => target.start('a', 0));
  streams.forEach((stream) => stream.event(900));
  expect(target.isOnTime('a', 1000, bounds)).toBe(false);
  streams.forEach((stream) => stream.event(940));
  streams.forEach((stream) => stream.end());
  expect(target.isOnTime('a', 2000, bounds)).toBe(true);
});
