/**
 * State machine that runs a non-idempotent call at most once. It is a reducer: each event yields
 * the next state and the effects to perform.
 *
 * A call runs only under a reservation: the row of its idempotency key in the table, which names
 * the request, the agent and the agent's incarnation. Another attempt may take over the row only
 * after that agent has confirmed a fence or refused the offer, so a process that resumes late
 * can't cause a second run.
 */
import type { CallRecord, CallResult } from '@verbenashunt/schema';
import type { Ran, RefusalCode } from '../errors/refusals.js';
import type { CallState } from './admission.js';

/** Times that a request evaluates the row before it gives up. */
const maxRounds = 8;

/** The agent incarnation that alone may run an attempt. */
export interface Claim {
  req: string;
  attempt: number;
  node: string;
  incarnation: number;
}

export interface VersionedRecord {
  record: CallRecord;
  version: number;
}

export type LedgerOutcome = | { kind: 'completed'; result: CallResult }
  | { kind: 'refused'; code: RefusalCode; ran: Ran };

/** `settling` reads the row after a write whose outcome is unknown. */
type Phase = 'choosing' | 'reserving' | 'settling' | 'reading' | 'offered' | 'running' | 'fencing' | 'over';

export interface LedgerState {
  phase: Phase;
  req: string;
  fingerprint: string;
  /** Version of the row that the next write replaces; 0 inserts it. */
  version: number;
  /** The current reservation: of this request, or of another one with the same key. */
  record?: CallRecord | undefined;
  /** Whether `record` is this request's own reservation. */
  own: boolean;
  /** Offers made to agents. */
  attempts: number;
  /** Times that the row was evaluated. */
  rounds: number;
  /** Nodes that refused an offer of this request or confirmed a fence; not chosen again. */
  avoid: readonly string[];
  /** Another request has reserved the key, and the outcome of its call is unknown here. */
  contested: boolean;
  /** The row was read, or was written by this request. */
  rowKnown: boolean;
  /** Code of the refusal if no target is left. */
  code: RefusalCode;
}

export type LedgerEvent = | { on: 'target'; node: string; incarnation: number; nonce: string; at: string }
  | { on: 'noTarget' | 'readFailed' }
  /** Outcome of the write with this nonce; `writeFailed` leaves open whether it took effect. */
  | { on: 'written' | 'conflict' | 'writeFailed'; nonce: string }
  | { on: 'row'; row: VersionedRecord | undefined }
  /**
   * `lost`: the connection to the agent was lost; `silent`: no answer in time; `gone`: the agent
   * restarted as another incarnation; `abandoned`: the caller left.
   */
  | { on: 'lost' | 'silent' | 'gone' | 'deadline' | 'abandoned' }
  | AgentEvent;

/** A message of an agent about an attempt; ignored unless it is the current attempt. */
export type AgentEvent = Pick<Claim, 'req' | 'attempt'> & (
  | { on: 'accepted' | 'failed' }
  | { on: 'refused'; code: string }
  | { on: 'result'; result: CallResult }
  | { on: 'cancelled'; ran: boolean }
  | { on: 'status'; state: CallState | 'absent' | 'accepted'; result?: CallResult | undefined }
);

export type LedgerEffect = | { do: 'choose'; avoid: readonly string[] }
  /** A write whose outcome is reported as an event. */
  | { do: 'write'; version: number; record: CallRecord }
  /** A background write without an outcome event. */
  | { do: 'note'; version: number; record: CallRecord }
  | { do: 'read' }
  | { do: 'offer'; claim: Claim }
  | { do: 'fence'; claim: Claim }
  | { do: 'ask'; claim: Claim }
  | { do: 'finish'; outcome: LedgerOutcome };

export type LedgerStep = [LedgerState, LedgerEffect[]];

const claimOf = ({
  req, attempt, node, incarnation,
}: CallRecord): Claim => ({
  req, attempt, node, incarnation,
});

function finishRefused(state: LedgerState, code: RefusalCode, ran: Ran): LedgerStep {
  const outcome = { kind: 'refused', code, ran } as const;
  return [{ ...state, phase: 'over' }, [{ do: 'finish', outcome }]];
}

const finishUnknown = (state: LedgerState) => finishRefused(state, 'outcome_unknown', 'unknown');

/** Refuses a request whose offers, if any, were all refused or fenced. */
const finishNotRun = (
  state: LedgerState,
  code: RefusalCode,
) => finishRefused(state, code, state.contested ? 'unknown' : 'no');

function finishCompleted(state: LedgerState, result: CallResult): LedgerStep {
  const note: LedgerEffect[] = state.record
    ? [{ do: 'note', version: state.version, record: { ...state.record, state: 'done', result } }]
    : [];
  const outcome = { kind: 'completed', result } as const;
  return [{ ...state, phase: 'over' }, [...note, { do: 'finish', outcome }]];
}

const chooseTarget = (state: LedgerState): LedgerStep => [
  { ...state, phase: 'choosing', contested: false },
  [{ do: 'choose', avoid: state.avoid }],
];

const readRow = (state: LedgerState, phase: 'reading' | 'settling'): LedgerStep => [
  { ...state, phase }, [{ do: 'read' }],
];

function fenceAttempt(state: LedgerState): LedgerStep {
  return [{ ...state, phase: 'fencing' }, [{ do: 'fence', claim: claimOf(state.record!) }]];
}

const offerAttempt = (state: LedgerState, version: number): LedgerStep => [
  {
    ...state, phase: 'offered', own: true, rowKnown: true, version, attempts: state.attempts + 1,
  },
  [{ do: 'offer', claim: claimOf(state.record!) }],
];

/** Evaluates the row: chooses a target if it is free, fences its attempt, or ends the request. */
function onRow(state: LedgerState, row: VersionedRecord | undefined): LedgerStep {
  const next = { ...state, rowKnown: true, rounds: state.rounds + 1 };
  if (next.rounds > maxRounds) return finishUnknown(next);
  if (!row) return chooseTarget({ ...next, version: 0 });
  const { record, version } = row;
  if (record.fingerprint !== state.fingerprint) return finishRefused(next, 'key_reused', 'no');
  const reserved = {
    ...next, record, version, own: false,
  };
  if (record.state === 'released') return chooseTarget(reserved);
  if (record.state === 'started') return fenceAttempt(reserved);
  return record.result
    ? finishCompleted({ ...reserved, record: undefined }, record.result)
    : finishUnknown(reserved);
}

/** After a write with unknown outcome, the nonce in the row shows whether it took effect. */
function onRowAfterFailedWrite(state: LedgerState, row: VersionedRecord | undefined): LedgerStep {
  if (row && row.record.nonce === state.record?.nonce) return offerAttempt(state, row.version);
  if ((row?.version ?? 0) === state.version) return finishNotRun(state, 'platform_unavailable');
  return onRow(state, row);
}

function onTarget(state: LedgerState, event: Extract<LedgerEvent, { on: 'target' }>): LedgerStep {
  const record: CallRecord = {
    state: 'started',
    fingerprint: state.fingerprint,
    nonce: event.nonce,
    req: state.req,
    attempt: state.attempts,
    node: event.node,
    incarnation: event.incarnation,
    at: event.at,
  };
  return [
    { ...state, phase: 'reserving', record },
    [{ do: 'write', version: state.version, record }],
  ];
}

function onNoTarget(state: LedgerState): LedgerStep {
  if (!state.rowKnown) return readRow(state, 'reading');
  const [next, effects] = finishNotRun(state, state.code);
  if (!state.own || !state.record) return [next, effects];
  const record: CallRecord = { ...state.record, state: 'released' };
  return [next, [{ do: 'note', version: state.version, record }, ...effects]];
}

/** The reserved attempt did not run and never will. */
function onNeverRan(state: LedgerState, code: RefusalCode): LedgerStep {
  const avoid = state.own ? [...state.avoid, state.record!.node] : state.avoid;
  return chooseTarget({ ...state, avoid, code });
}

function onStatus(
  state: LedgerState,
  event: Extract<LedgerEvent, { on: 'status' }>,
): LedgerStep {
  if (event.state === 'done' && event.result) return finishCompleted(state, event.result);
  if (event.state === 'done' || event.state === 'failed') return finishUnknown(state);
  if (event.state === 'absent') return finishUnknown(state);
  if (event.state === 'fenced') return onNeverRan(state, 'no_target');
  return [state, [{ do: 'ask', claim: claimOf(state.record!) }]];
}

type Handler = (state: LedgerState, event: LedgerEvent) => LedgerStep | undefined;

/** The events that each phase handles; it ignores all others. */
const handlers: Record<Phase, Handler> = {
  choosing(state, event) {
    if (event.on === 'target') return onTarget(state, event);
    return event.on === 'noTarget' ? onNoTarget(state) : undefined;
  },
  reserving(state, event) {
    if (event.on === 'written') return offerAttempt(state, state.version + 1);
    if (event.on === 'conflict') return readRow({ ...state, contested: true }, 'reading');
    return event.on === 'writeFailed' ? readRow(state, 'settling') : undefined;
  },
  settling(state, event) {
    if (event.on === 'row') return onRowAfterFailedWrite(state, event.row);
    return event.on === 'readFailed' ? finishNotRun(state, 'platform_unavailable') : undefined;
  },
  reading(state, event) {
    if (event.on === 'row') {
      const free = !event.row && !state.contested;
      return free ? finishNotRun(state, state.code) : onRow(state, event.row);
    }
    return event.on === 'readFailed' ? finishNotRun(state, 'platform_unavailable') : undefined;
  },
  offered(state, event) {
    if (event.on === 'accepted') return [{ ...state, phase: 'running' }, []];
    if (event.on === 'refused') return onNeverRan(state, event.code === 'busy' ? 'overloaded' : 'no_target');
    return event.on === 'silent' || event.on === 'lost' ? fenceAttempt(state) : undefined;
  },
  running(state, event) {
    if (event.on === 'status') return onStatus(state, event);
    if (event.on === 'silent') return finishUnknown(state);
    return event.on === 'lost' ? fenceAttempt(state) : undefined;
  },
  fencing(state, event) {
    if (event.on === 'silent') return finishUnknown(state);
    if (event.on !== 'cancelled') return undefined;
    if (!event.ran) return onNeverRan(state, 'no_target');
    return [{ ...state, phase: 'running' }, [{ do: 'ask', claim: claimOf(state.record!) }]];
  },
  over: () => undefined,
};

/** Phases in which an attempt may have been run by an agent. */
const phasesThatMayRun = new Set<Phase>(['offered', 'running', 'fencing']);

function onAnyPhase(state: LedgerState, event: LedgerEvent): LedgerStep | undefined {
  const mayRun = phasesThatMayRun.has(state.phase);
  if (state.phase === 'over') return undefined;
  if (event.on === 'deadline') return mayRun ? finishUnknown(state) : finishNotRun(state, 'deadline');
  if (event.on === 'abandoned') return mayRun ? undefined : [{ ...state, phase: 'over' }, []];
  if (!mayRun) return undefined;
  if (event.on === 'result') return finishCompleted(state, event.result);
  return event.on === 'failed' || event.on === 'gone' ? finishUnknown(state) : undefined;
}

/** Initial state of a call, and its first effect. */
export const beginCall = (req: string, fingerprint: string): LedgerStep => [
  {
    phase: 'choosing',
    req,
    fingerprint,
    version: 0,
    own: false,
    attempts: 0,
    rounds: 0,
    avoid: [],
    contested: false,
    rowKnown: false,
    code: 'no_target',
  },
  [{ do: 'choose', avoid: [] }],
];

/** Whether an event belongs to another attempt or write than the current one. */
function isStale({ record }: LedgerState, event: LedgerEvent): boolean {
  if ('req' in event) return event.req !== record?.req || event.attempt !== record.attempt;
  return event.on !== 'target' && 'nonce' in event && event.nonce !== record?.nonce;
}

/** Applies one event; events that are stale or not handled in the phase change nothing. */
export function advanceCall(state: LedgerState, event: LedgerEvent): LedgerStep {
  if (isStale(state, event)) return [state, []];
  return onAnyPhase(state, event) ?? handlers[state.phase](state, event) ?? [state, []];
}
