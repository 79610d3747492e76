/**
 * Life of one request at an entry: which attempt follows which outcome, and what its caller may
 * truthfully be told. Pure; the caller of this module carries out each step.
 */
import type { RequestKind } from './config.js';

/**
 * How an attempt ended.
 * - `unsent`: no byte of the request left for the target.
 * - `not_run`: the target said that it did not run the request and will not.
 * - `unknown`: the request was sent and no usable answer came.
 * - `failed`: the target ran the request and answered with a failure of its own.
 * - `broken`: the answer began and broke off.
 */
export type AttemptEnd = 'unsent' | 'not_run' | 'unknown' | 'failed' | 'broken';

export interface LifeSpec {
  kind: RequestKind;
  /** The route lets a broken stream go on after its last event. */
  resumable: boolean;
  /** Targets to which the request may be sent and on which it may run. */
  maxAttempts: number;
}

export interface LifeState {
  /** Attempts that ran or may have run. */
  ran: number;
  /** Attempts that targets refused, before the caller had anything. */
  missed: number;
  /** Events or bytes that the caller has received. */
  delivered: boolean;
}

/**
 * What to do after an attempt.
 * - `try`: try again, with what the caller has already as the start of the answer.
 * - `relay`: pass on the failure that the target answered with.
 * - `refuse`: `ran: 'no'` promises that the request did not and will not run.
 * - `cut`: close the caller's connection, so that the answer does not look complete.
 */
export type LifeStep = { do: 'try' | 'relay' | 'cut' } | { do: 'refuse'; ran: 'no' | 'unknown' };

/**
 * Refusals of targets after which a request is refused, for each attempt that may run. An answer
 * that its caller has in part is not given up for them: time and budget end it. Targets that can't
 * be reached are not counted, as each is tried once and nothing arrives there.
 */
const missesPerAttempt = 3;

export const newLife = (): LifeState => ({ ran: 0, missed: 0, delivered: false });

/** Whether running the request twice is allowed. */
export const mayRepeat = ({ kind, resumable }: LifeSpec) => kind === 'idempotent'
  || (kind === 'stream' && resumable);

/** The state after an attempt. */
export function afterAttempt(state: LifeState, end: AttemptEnd): LifeState {
  if (end === 'unsent') return state;
  if (end !== 'not_run') return { ...state, ran: state.ran + 1 };
  return state.delivered ? state : { ...state, missed: state.missed + 1 };
}

/** What a request ends with when it can't be tried again. */
function lastStep(state: LifeState, end: AttemptEnd): LifeStep {
  if (state.delivered) return { do: 'cut' };
  if (end === 'failed') return { do: 'relay' };
  return { do: 'refuse', ran: state.ran === 0 ? 'no' : 'unknown' };
}

/**
 * Decides what follows an attempt. `state` is the one after it; `canRetry` says whether time,
 * budget and targets are left for another.
 */
export function stepAfter(
  spec: LifeSpec,
  state: LifeState,
  end: AttemptEnd,
  canRetry: boolean,
): LifeStep {
  const isOut = state.ran >= spec.maxAttempts
    || state.missed >= spec.maxAttempts * missesPerAttempt
    || !canRetry;
  const isRepeat = state.ran > 0;
  if (isOut || (isRepeat && !mayRepeat(spec))) return lastStep(state, end);
  return { do: 'try' };
}
