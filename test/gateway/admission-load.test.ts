/** Admission by the streams' progress: plays a load on one engine and counts what callers get. */
import { expect, test } from 'vitest';
import { createTargetProgress, type StreamProgress } from '@verbenashunt/gateway';

const bounds = { objectiveMs: 500, maxPauseMs: 200 };
/** Time that a caller waits for the next event. */
const patienceMs = 2000;
const eventsOfStream = 60;
/** Work of one pass: its own time, that of each writer, and that of the prompts it reads. */
const passMs = 20;
const writerMs = 3;
const promptMs = 30;

interface Played {
  progress: StreamProgress;
  sentAt: number;
  events: number;
  heardAt: number;
  isLate: boolean;
}

interface Outcome {
  onTime: number;
  late: number;
  refused: number;
  leftUnserved: number;
}

/** One engine that reads prompts in order, one a pass, and steps all writers together. */
function play(arrivalsPerS: number, seconds: number, hasAdmission: boolean): Outcome {
  const target = createTargetProgress();
  const outcome: Outcome = {
    onTime: 0, late: 0, refused: 0, leftUnserved: 0,
  };
  let waiting: Played[] = [];
  let writing: Played[] = [];
  let now = 0;
  let arrived = 0;

  function arrive() {
    arrived += 1;
    if (hasAdmission && !target.isOnTime('a', now, bounds)) {
      outcome.refused += 1;
      return;
    }
    waiting.push({
      progress: target.start('a', now), sentAt: now, heardAt: now, events: 0, isLate: false,
    });
  }

  function step(stream: Played) {
    const waitedMs = now - stream.heardAt;
    const limitMs = stream.events === 0 ? bounds.objectiveMs : bounds.maxPauseMs;
    Object.assign(stream, {
      events: stream.events + 1, heardAt: now, isLate: stream.isLate || waitedMs > limitMs,
    });
    stream.progress.event(now);
  }

  function leave(stream: Played) {
    stream.progress.end();
    outcome.leftUnserved += 1;
  }

  function finish(stream: Played) {
    stream.progress.end();
    if (stream.isLate) outcome.late += 1;
    else outcome.onTime += 1;
  }

  const isGone = ({ heardAt }: Played) => now - heardAt > patienceMs;
  const isWhole = ({ events }: Played) => events >= eventsOfStream;

  while (now < seconds * 1000) {
    const next = waiting.shift();
    now += passMs + writerMs * writing.length + (next ? promptMs : 0);
    while (arrived < (arrivalsPerS * now) / 1000) arrive();
    if (next) writing.push(next);
    writing.forEach(step);
    writing.filter(isWhole).forEach(finish);
    writing = writing.filter((stream) => !isWhole(stream));
    waiting.filter(isGone).forEach(leave);
    waiting = waiting.filter((stream) => !isGone(stream));
  }
  return outcome;
}

test('within what the engine can do, all are taken and on time', () => {
  const { onTime, late, refused } = play(3, 60, true);
  expect({ late, refused }).toEqual({ late: 0, refused: 0 });
  expect(onTime).toBeGreaterThan(150);
});

test.each([10, 20, 40])('at %i streams a second most that are taken are on time', (arrivalsPerS) => {
  const [free, bounded] = [false, true].map((hasAdmission) => play(arrivalsPerS, 60, hasAdmission));
  expect(free!.onTime).toBeLessThan(0.2 * bounded!.onTime);
  expect(bounded!.late + bounded!.leftUnserved).toBeLessThan(0.25 * bounded!.onTime);
});

test('after a surge, callers are taken again', () => {
  const target = createTargetProgress();
  const streams = Array.from({ length: 5 }, () => target.start('a', 0));
  streams.forEach((stream) => stream.event(900));
  expect(target.isOnTime('a', 1000, bounds)).toBe(false);
  streams.forEach((stream) => stream.event(940));
  streams.forEach((stream) => stream.end());
  expect(target.isOnTime('a', 2000, bounds)).toBe(true);
});
