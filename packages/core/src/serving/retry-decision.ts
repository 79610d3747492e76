/**
 * Decides after each attempt of a request whether to retry it, and what its caller may be told
 * about whether it ran. Pure functions; the calling code carries out each step.
 */
import type { RequestKind } from './config.js';

/**
 * How an attempt ended.
 * - `unsent`: no byte of the request was sent to the target.
 * - `not_run`: the target answered that it did not run the request and will not.
 * - `unknown`: the request was sent, but no usable answer arrived.
 * - `failed`: the target ran the request and answered with an error.
 * - `broken`: the answer started and was cut short.
 * - `unsettled`: the stream ended without a sign of whether it was whole.
 */
export type AttemptEnd = 'unsent' | 'not_run' | 'unknown' | 'failed' | 'broken' | 'unsettled';

export interface RetryPolicy {
  kind: RequestKind;
  /** Whether the route allows a broken stream to be resumed after its last event. */
  resumable: boolean;
  /** Most attempts that may run the request. */
  maxAttempts: number;
}

export interface RetryState {
  /** Number of attempts that ran or may have run. */
  ran: number;
  /** Number of attempts that targets refused before the caller had received any of the answer. */
  refusals: number;
  /** Whether the caller has received part of the answer. */
  delivered: boolean;
}

/**
 * What to do after an attempt.
 * - `try`: try again; the answer continues after the part that the caller already has.
 * - `relay`: pass the target's error on to the caller.
 * - `refuse`: answer with an error of the entry; `ran: 'no'` promises that the request did not run
 *   and will not.
 * - `cut`: close the caller's connection, so that the answer does not look complete.
 */
export type RetryStep = { do: 'try' | 'relay' | 'cut' } | { do: 'refuse'; ran: 'no' | 'unknown' };

/**
 * Refusals by targets after which the request is refused, per attempt of `maxAttempts`. Refusals
 * are not counted once the caller has part of the answer; then the deadline and the retry budget
 * bound the attempts. Unreachable targets are never counted: each is tried only once and receives
 * nothing.
 */
const refusalsPerAttempt = 3;

export const newRetryState = (): RetryState => ({ ran: 0, refusals: 0, delivered: false });

/** Whether the request may run more than once. */
export const mayRepeat = ({ kind, resumable }: RetryPolicy) => kind === 'idempotent'
  || (kind === 'stream' && resumable);

/**
 * Returns the state after an attempt; `delivered` is set elsewhere, as the caller receives bytes.
 */
export function afterAttempt(state: RetryState, end: AttemptEnd): RetryState {
  if (end === 'unsent') return state;
  if (end !== 'not_run') return { ...state, ran: state.ran + 1 };
  return state.delivered ? state : { ...state, refusals: state.refusals + 1 };
}

/** How the request ends when it is not tried again. */
function finalStep(state: RetryState, end: AttemptEnd): RetryStep {
  if (state.delivered) return { do: 'cut' };
  if (end === 'failed') return { do: 'relay' };
  return { do: 'refuse', ran: state.ran === 0 ? 'no' : 'unknown' };
}

/**
 * Decides what follows an attempt. `state` already includes that attempt; `canRetry` says whether
 * time, retry budget and targets are left for another one.
 */
export function nextStep(
  policy: RetryPolicy,
  state: RetryState,
  end: AttemptEnd,
  canRetry: boolean,
): RetryStep {
  const isExhausted = state.ran >= policy.maxAttempts
    || state.refusals >= policy.maxAttempts * refusalsPerAttempt
    || !canRetry;
  const hasRun = state.ran > 0;
  if (isExhausted || (hasRun && !mayRepeat(policy))) return finalStep(state, end);
  return { do: 'try' };
}
