/**
 * Retry decisions, checked over every sequence of attempt outcomes: when a request may run again
 * and what its caller is told about whether it ran.
 */
import { expect, test } from 'vitest';
import {
  afterAttempt, mayRepeat, newRetryState, nextStep,
  type AttemptEnd, type RetryPolicy, type RetryState, type RetryStep,
} from '@verbenashunt/core';

const ends: AttemptEnd[] = ['unsent', 'not_run', 'unknown', 'failed', 'broken'];
const policies: RetryPolicy[] = (['once', 'idempotent', 'stream'] as const).flatMap((kind) => [true, false]
  .flatMap((resumable) => [1, 2, 3].map((maxAttempts) => ({ kind, resumable, maxAttempts }))));

interface Scenario {
  policy: RetryPolicy;
  state: RetryState;
  history: AttemptEnd[];
  step: RetryStep;
}

const hasRun = (history: AttemptEnd[]) => history
  .some((end) => end !== 'unsent' && end !== 'not_run');

/**
 * Returns all scenarios that a request can reach, with and without retries left at each step. The
 * decision depends only on the state, and the checks also on whether an attempt may have run; so
 * the search continues from each combination of the two only once.
 */
function explore(
  policy: RetryPolicy,
  state: RetryState,
  history: AttemptEnd[],
  seen = new Set<string>(),
): Scenario[] {
  const key = JSON.stringify([state, hasRun(history)]);
  if (seen.has(key)) return [];
  seen.add(key);
  return ends.flatMap((end) => [true, false].flatMap((canRetry) => {
    // The caller may have received part of a broken stream.
    const delivered = [state.delivered, ...(end === 'broken' && policy.kind === 'stream' ? [true] : [])];
    return [...new Set(delivered)].flatMap((isDelivered) => {
      const next = { ...afterAttempt(state, end), delivered: isDelivered };
      const step = nextStep(policy, next, end, canRetry);
      const scenario = {
        policy, state: next, history: [...history, end], step,
      };
      return step.do === 'try' ? [scenario, ...explore(policy, next, scenario.history, seen)] : [scenario];
    });
  }));
}

const scenarios = policies.flatMap((policy) => explore(policy, newRetryState(), []));
const mayHaveRun = ({ history }: Scenario) => hasRun(history);

test('reports that the request did not run only when no attempt can have run', () => {
  const refused = scenarios.filter(({ step }) => step.do === 'refuse' && step.ran === 'no');
  expect(refused.length).toBeGreaterThan(100);
  expect(refused.filter(mayHaveRun)).toEqual([]);
});

test('always reports that the request did not run when no attempt can have run', () => {
  const refused = scenarios.filter(({ step }) => step.do === 'refuse' && step.ran === 'unknown');
  expect(refused.filter((scenario) => !mayHaveRun(scenario))).toEqual([]);
});

test('never retries a non-repeatable request once an attempt may have run', () => {
  const retried = scenarios.filter(({ policy, step }) => !mayRepeat(policy) && step.do === 'try');
  expect(retried.filter(mayHaveRun)).toEqual([]);
});

test('never runs a request more often than maxAttempts', () => {
  expect(scenarios.filter(({ state, policy }) => state.ran > policy.maxAttempts)).toEqual([]);
});

test('unreachable targets do not count towards any limit', () => {
  const policy: RetryPolicy = { kind: 'once', resumable: false, maxAttempts: 1 };
  const state = Array.from({ length: 20 }).reduce((last: RetryState) => afterAttempt(last, 'unsent'), newRetryState());
  expect(nextStep(policy, state, 'unsent', true)).toEqual({ do: 'try' });
  expect(nextStep(policy, state, 'unsent', false)).toEqual({ do: 'refuse', ran: 'no' });
});

test('every request ends after a bounded number of attempts', () => {
  const longest = scenarios.reduce((most, { history }) => Math.max(most, history.length), 0);
  expect(longest).toBeLessThan(20);
});

test('a partly delivered answer is retried or cut, never refused', () => {
  const started = scenarios.filter(({ state }) => state.delivered);
  expect(new Set(started.map(({ step }) => step.do))).toEqual(new Set(['try', 'cut']));
});

test('a partly delivered resumable stream is not given up because of refusals alone', () => {
  const policy: RetryPolicy = { kind: 'stream', resumable: true, maxAttempts: 2 };
  const started = { ...afterAttempt(newRetryState(), 'broken'), delivered: true };
  const state = Array.from({ length: 20 }).reduce((last: RetryState) => afterAttempt(last, 'not_run'), started);
  expect(nextStep(policy, state, 'not_run', true)).toEqual({ do: 'try' });
});
