/**
 * Decisions for one call that may not be repeated, as a reducer over events.
 *
 * A call runs only under a reservation in the table, which names the request, the agent and its
 * incarnation. A reservation moves on only after that agent confirmed a fence or refused the
 * offer, so no process that wakes late can cause a second run.
 */
import type { CallRecord, CallResult } from '@verbenashunt/schema';
import type { Ran, RefusalCode } from '../errors/refusals.js';
import type { CallState } from './admission.js';

/** Reservations that one request looks into before it gives up. */
const maxRounds = 8;

/** The one place where an attempt may run. */
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

type Phase = 'choosing' | 'reserving' | 'settling' | 'reading' | 'offered' | 'running' | 'fencing' | 'over';

export interface LedgerState {
  phase: Phase;
  req: string;
  fingerprint: string;
  /** Version that the next write replaces; 0 inserts. */
  version: number;
  /** The reservation that is written, offered or followed. */
  record?: CallRecord | undefined;
  own: boolean;
  attempts: number;
  rounds: number;
  avoid: readonly string[];
  /** Another request holds or held the key, and what came of it is not known here. */
  contested: boolean;
  /** The row was read, or is this request's own. */
  seen: boolean;
  code: RefusalCode;
}

export type LedgerEvent = | { on: 'target'; node: string; incarnation: number; nonce: string; at: string }
  | { on: 'noTarget' | 'readFailed' }
  /** What came of the write with this nonce. */
  | { on: 'written' | 'conflict' | 'writeFailed'; nonce: string }
  | { on: 'row'; row: VersionedRecord | undefined }
  | { on: 'lost' | 'silent' | 'gone' | 'deadline' | 'abandoned' }
  | AgentEvent;

/** An agent's word on one attempt; that on any other attempt is dropped. */
export type AgentEvent = Pick<Claim, 'req' | 'attempt'> & (
  | { on: 'accepted' | 'failed' }
  | { on: 'refused'; code: string }
  | { on: 'result'; result: CallResult }
  | { on: 'cancelled'; ran: boolean }
  | { on: 'status'; state: CallState | 'absent' | 'accepted'; result?: CallResult | undefined }
);

export type LedgerEffect = | { do: 'choose'; avoid: readonly string[] }
  /** A write whose outcome is awaited. */
  | { do: 'write'; version: number; record: CallRecord }
  /** A write that nothing waits for. */
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

function refuse(state: LedgerState, code: RefusalCode, ran: Ran): LedgerStep {
  const outcome = { kind: 'refused', code, ran } as const;
  return [{ ...state, phase: 'over' }, [{ do: 'finish', outcome }]];
}

const unknown = (state: LedgerState) => refuse(state, 'outcome_unknown', 'unknown');

/** Ends a request that offered nothing, or whose offers were all refused or fenced. */
const notRun = (state: LedgerState, code: RefusalCode) => refuse(state, code, state.contested ? 'unknown' : 'no');

function complete(state: LedgerState, result: CallResult): LedgerStep {
  const note: LedgerEffect[] = state.record
    ? [{ do: 'note', version: state.version, record: { ...state.record, state: 'done', result } }]
    : [];
  const outcome = { kind: 'completed', result } as const;
  return [{ ...state, phase: 'over' }, [...note, { do: 'finish', outcome }]];
}

const choose = (state: LedgerState): LedgerStep => [
  { ...state, phase: 'choosing', contested: false },
  [{ do: 'choose', avoid: state.avoid }],
];

const read = (state: LedgerState, phase: 'reading' | 'settling'): LedgerStep => [
  { ...state, phase }, [{ do: 'read' }],
];

function fence(state: LedgerState): LedgerStep {
  return [{ ...state, phase: 'fencing' }, [{ do: 'fence', claim: claimOf(state.record!) }]];
}

const offer = (state: LedgerState, version: number): LedgerStep => [
  {
    ...state, phase: 'offered', own: true, seen: true, version, attempts: state.attempts + 1,
  },
  [{ do: 'offer', claim: claimOf(state.record!) }],
];

/** What the row of the key asks for. */
function onRow(state: LedgerState, row: VersionedRecord | undefined): LedgerStep {
  const seen = { ...state, seen: true, rounds: state.rounds + 1 };
  if (seen.rounds > maxRounds) return unknown(seen);
  if (!row) return choose({ ...seen, version: 0 });
  const { record, version } = row;
  if (record.fingerprint !== state.fingerprint) return refuse(seen, 'key_reused', 'no');
  const held = {
    ...seen, record, version, own: false,
  };
  if (record.state === 'released') return choose(held);
  if (record.state === 'started') return fence(held);
  return record.result ? complete({ ...held, record: undefined }, record.result) : unknown(held);
}

/** After an unknown write: the nonce tells whether it took effect. */
function onSettled(state: LedgerState, row: VersionedRecord | undefined): LedgerStep {
  if (row && row.record.nonce === state.record?.nonce) return offer(state, row.version);
  if ((row?.version ?? 0) === state.version) return notRun(state, 'platform_unavailable');
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
  if (!state.seen) return read(state, 'reading');
  const [over, effects] = notRun(state, state.code);
  if (!state.own || !state.record) return [over, effects];
  const record: CallRecord = { ...state.record, state: 'released' };
  return [over, [{ do: 'note', version: state.version, record }, ...effects]];
}

/** The reservation's attempt did not run and never will. */
function onNeverRan(state: LedgerState, code: RefusalCode): LedgerStep {
  const avoid = state.own ? [...state.avoid, state.record!.node] : state.avoid;
  return choose({ ...state, avoid, code });
}

function onStatus(
  state: LedgerState,
  event: Extract<LedgerEvent, { on: 'status' }>,
): LedgerStep {
  if (event.state === 'done' && event.result) return complete(state, event.result);
  if (event.state === 'done' || event.state === 'failed') return unknown(state);
  if (event.state === 'absent') return unknown(state);
  if (event.state === 'fenced') return onNeverRan(state, 'no_target');
  return [state, [{ do: 'ask', claim: claimOf(state.record!) }]];
}

type Handler = (state: LedgerState, event: LedgerEvent) => LedgerStep | undefined;

/** What each phase does with the events that it waits for; all others are dropped. */
const handlers: Record<Phase, Handler> = {
  choosing(state, event) {
    if (event.on === 'target') return onTarget(state, event);
    return event.on === 'noTarget' ? onNoTarget(state) : undefined;
  },
  reserving(state, event) {
    if (event.on === 'written') return offer(state, state.version + 1);
    if (event.on === 'conflict') return read({ ...state, contested: true }, 'reading');
    return event.on === 'writeFailed' ? read(state, 'settling') : undefined;
  },
  settling(state, event) {
    if (event.on === 'row') return onSettled(state, event.row);
    return event.on === 'readFailed' ? notRun(state, 'platform_unavailable') : undefined;
  },
  reading(state, event) {
    if (event.on === 'row') {
      const free = !event.row && !state.contested;
      return free ? notRun(state, state.code) : onRow(state, event.row);
    }
    return event.on === 'readFailed' ? notRun(state, 'platform_unavailable') : undefined;
  },
  offered(state, event) {
    if (event.on === 'accepted') return [{ ...state, phase: 'running' }, []];
    if (event.on === 'refused') return onNeverRan(state, event.code === 'busy' ? 'overloaded' : 'no_target');
    return event.on === 'silent' || event.on === 'lost' ? fence(state) : undefined;
  },
  running(state, event) {
    if (event.on === 'status') return onStatus(state, event);
    if (event.on === 'silent') return unknown(state);
    return event.on === 'lost' ? fence(state) : undefined;
  },
  fencing(state, event) {
    if (event.on === 'silent') return unknown(state);
    if (event.on !== 'cancelled') return undefined;
    if (!event.ran) return onNeverRan(state, 'no_target');
    return [{ ...state, phase: 'running' }, [{ do: 'ask', claim: claimOf(state.record!) }]];
  },
  over: () => undefined,
};

const exposedPhases = new Set<Phase>(['offered', 'running', 'fencing']);

function onAnyPhase(state: LedgerState, event: LedgerEvent): LedgerStep | undefined {
  const exposed = exposedPhases.has(state.phase);
  if (state.phase === 'over') return undefined;
  if (event.on === 'deadline') return exposed ? unknown(state) : notRun(state, 'deadline');
  if (event.on === 'abandoned') return exposed ? undefined : [{ ...state, phase: 'over' }, []];
  if (!exposed) return undefined;
  if (event.on === 'result') return complete(state, event.result);
  return event.on === 'failed' || event.on === 'gone' ? unknown(state) : undefined;
}

/** Begins a call: the first effect chooses a target. */
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
    seen: false,
    code: 'no_target',
  },
  [{ do: 'choose', avoid: [] }],
];

/** Whether an event speaks of an attempt or a write that is not the current one. */
function isForeign({ record }: LedgerState, event: LedgerEvent): boolean {
  if ('req' in event) return event.req !== record?.req || event.attempt !== record.attempt;
  return event.on !== 'target' && 'nonce' in event && event.nonce !== record?.nonce;
}

/** Takes one event; an event that the phase does not wait for changes nothing. */
export function advanceCall(state: LedgerState, event: LedgerEvent): LedgerStep {
  if (isForeign(state, event)) return [state, []];
  return onAnyPhase(state, event) ?? handlers[state.phase](state, event) ?? [state, []];
}
