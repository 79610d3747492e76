/** Every sequence of endings of a request's attempts, against what may be run and told. */
import { expect, test } from 'vitest';
import {
  afterAttempt, mayRepeat, newLife, stepAfter,
  type AttemptEnd, type LifeSpec, type LifeState, type LifeStep,
} from '@verbenashunt/core';

const ends: AttemptEnd[] = ['unsent', 'not_run', 'unknown', 'failed', 'broken'];
const specs: LifeSpec[] = (['once', 'idempotent', 'stream'] as const).flatMap((kind) => [true, false]
  .flatMap((resumable) => [1, 2, 3].map((maxAttempts) => ({ kind, resumable, maxAttempts }))));

interface World {
  spec: LifeSpec;
  state: LifeState;
  history: AttemptEnd[];
  step: LifeStep;
}

const hasRun = (history: AttemptEnd[]) => history
  .some((end) => end !== 'unsent' && end !== 'not_run');

/**
 * All worlds that a request can come to, with and without retries left at each step. What follows
 * rests on the state alone, and what is checked also on whether an attempt may have run: from each
 * pair of the two the search goes on once.
 */
function explore(
  spec: LifeSpec,
  state: LifeState,
  history: AttemptEnd[],
  seen = new Set<string>(),
): World[] {
  const key = JSON.stringify([state, hasRun(history)]);
  if (seen.has(key)) return [];
  seen.add(key);
  return ends.flatMap((end) => [true, false].flatMap((canRetry) => {
    // A stream that broke off may have reached its caller in part.
    const delivered = [state.delivered, ...(end === 'broken' && spec.kind === 'stream' ? [true] : [])];
    return [...new Set(delivered)].flatMap((isDelivered) => {
      const next = { ...afterAttempt(state, end), delivered: isDelivered };
      const step = stepAfter(spec, next, end, canRetry);
      const world = {
        spec, state: next, history: [...history, end], step,
      };
      return step.do === 'try' ? [world, ...explore(spec, next, world.history, seen)] : [world];
    });
  }));
}

const worlds = specs.flatMap((spec) => explore(spec, newLife(), []));
const mayHaveRun = ({ history }: World) => hasRun(history);

test('not run is told only where nothing can have run', () => {
  const told = worlds.filter(({ step }) => step.do === 'refuse' && step.ran === 'no');
  expect(told.length).toBeGreaterThan(100);
  expect(told.filter(mayHaveRun)).toEqual([]);
});

test('where nothing can have run, the caller is told so', () => {
  const told = worlds.filter(({ step }) => step.do === 'refuse' && step.ran === 'unknown');
  expect(told.filter((world) => !mayHaveRun(world))).toEqual([]);
});

test('what may not be repeated is never tried once it may have run', () => {
  const again = worlds.filter(({ spec, step }) => !mayRepeat(spec) && step.do === 'try');
  expect(again.filter(mayHaveRun)).toEqual([]);
});

test('no more runs than the route allows', () => {
  expect(worlds.filter(({ state, spec }) => state.ran > spec.maxAttempts)).toEqual([]);
});

test('targets that can not be reached use nothing up', () => {
  const spec: LifeSpec = { kind: 'once', resumable: false, maxAttempts: 1 };
  const state = Array.from({ length: 20 }).reduce((last: LifeState) => afterAttempt(last, 'unsent'), newLife());
  expect(stepAfter(spec, state, 'unsent', true)).toEqual({ do: 'try' });
  expect(stepAfter(spec, state, 'unsent', false)).toEqual({ do: 'refuse', ran: 'no' });
});

test('every request ends', () => {
  const longest = worlds.reduce((most, { history }) => Math.max(most, history.length), 0);
  expect(longest).toBeLessThan(20);
});

test('an answer that has begun is cut, never refused', () => {
  const begun = worlds.filter(({ state }) => state.delivered);
  expect(new Set(begun.map(({ step }) => step.do))).toEqual(new Set(['try', 'cut']));
});

test('a begun stream that may be repeated is not given up for refusals alone', () => {
  const spec: LifeSpec = { kind: 'stream', resumable: true, maxAttempts: 2 };
  const begun = { ...afterAttempt(newLife(), 'broken'), delivered: true };
  const state = Array.from({ length: 20 }).reduce((last: LifeState) => afterAttempt(last, 'not_run'), begun);
  expect(stepAfter(spec, state, 'not_run', true)).toEqual({ do: 'try' });
});
