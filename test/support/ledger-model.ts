/**
 * Model of the at-most-once call protocol, for model checking. Two entries, with one request each
 * for the same idempotency key, two agents, the service and the table row exchange messages. A
 * message may be delayed, lost or reordered, and a process may stop. The call ledger and the
 * agents' admission are the production code.
 */
import {
  advanceCall, beginCall, callRefusalCode, stateAfterCancel,
  type CallState, type Claim, type LedgerEffect, type LedgerEvent, type LedgerState,
  type VersionedRecord,
} from '@verbenashunt/core';

export interface LedgerModel {
  row?: VersionedRecord | undefined;
  agents: { incarnation: number; calls: Record<string, CallState> }[];
  requests: { ledger: LedgerState; alive: boolean; started: boolean; outcome?: string }[];
  /** Messages in flight, which may arrive in any order. */
  pending: PendingDelivery[];
  /** Number of times that the service ran each request. */
  runs: number[];
  /** Faults that may still happen. */
  faults: number;
}

/** `from` is the index of the request that sent the message, or that the event is for. */
type PendingDelivery = | { to: 'agent'; from: number; kind: 'offer' | 'fence' | 'ask'; claim: Claim }
  | { to: 'table'; from: number; effect: Extract<LedgerEffect, { do: 'write' | 'note' | 'read' }> }
  | { to: 'service'; claim: Claim }
  | { to: 'request'; from: number; event: LedgerEvent };

const fingerprint = 'body';
const result = { status: 201, headers: {}, body: '' };
const keyOf = ({ req, attempt }: Claim) => `${req}:${attempt}`;

export const createLedgerModel = (faults: number): LedgerModel => ({
  agents: [{ incarnation: 1, calls: {} }, { incarnation: 1, calls: {} }],
  requests: [0, 1].map((i) => ({
    ledger: beginCall(String(i), fingerprint)[0], alive: true, started: false,
  })),
  pending: [],
  runs: [0, 0],
  faults,
});

function performEffects(model: LedgerModel, from: number, effects: LedgerEffect[]) {
  const request = model.requests[from]!;
  effects.forEach((effect) => {
    if (effect.do === 'finish') {
      request.outcome = effect.outcome.kind === 'completed' ? 'completed' : effect.outcome.ran;
    } else if (effect.do === 'choose') {
      const node = [0, 1].find((i) => !effect.avoid.includes(String(i)));
      const event: LedgerEvent = node === undefined ? { on: 'noTarget' } : {
        on: 'target', node: String(node), incarnation: model.agents[node]!.incarnation, nonce: `${from}/${request.ledger.attempts}/${request.ledger.rounds}`, at: '',
      };
      model.pending.push({ to: 'request', from, event });
    } else if ('claim' in effect) {
      model.pending.push({
        to: 'agent', from, kind: effect.do, claim: effect.claim,
      });
    } else model.pending.push({ to: 'table', from, effect });
  });
}

function applyEvent(model: LedgerModel, from: number, event: LedgerEvent) {
  const request = model.requests[from]!;
  if (!request.alive) return;
  const [ledger, effects] = advanceCall(request.ledger, event);
  request.ledger = ledger;
  performEffects(model, from, effects);
}

const sendEvent = (model: LedgerModel, from: number, event: LedgerEvent) => model.pending
  .push({ to: 'request', from, event });

/** Identifies the attempt in an event of an agent. */
const attemptIdOf = ({ req, attempt }: Claim) => ({ req, attempt });

function deliverToAgent(model: LedgerModel, delivery: Extract<PendingDelivery, { to: 'agent' }>) {
  const { from, kind, claim } = delivery;
  const agent = model.agents[Number(claim.node)]!;
  const currentState = agent.calls[keyOf(claim)];
  if (kind === 'offer') {
    const code = callRefusalCode(currentState, {
      expectedIncarnation: claim.incarnation,
      incarnation: agent.incarnation,
      admitting: true,
      revision: 1,
      ownRevision: 1,
      active: 0,
      maxActive: 9,
    });
    if (code) {
      sendEvent(model, from, { on: 'refused', ...attemptIdOf(claim), code });
    } else {
      agent.calls[keyOf(claim)] = 'running';
      sendEvent(model, from, { on: 'accepted', ...attemptIdOf(claim) });
      model.pending.push({ to: 'service', claim });
    }
    // A connection belongs to one incarnation, so no other one answers a fence or status request.
  } else if (agent.incarnation !== claim.incarnation) sendEvent(model, from, { on: 'gone' });
  else if (kind === 'fence') {
    agent.calls[keyOf(claim)] = stateAfterCancel(currentState);
    sendEvent(model, from, { on: 'cancelled', ...attemptIdOf(claim), ran: agent.calls[keyOf(claim)] !== 'fenced' });
  } else {
    const state = currentState ?? 'absent';
    sendEvent(model, from, {
      on: 'status', ...attemptIdOf(claim), state, ...(state === 'done' ? { result } : {}),
    });
  }
}

function deliverToTable(model: LedgerModel, { from, effect }: Extract<PendingDelivery, { to: 'table' }>) {
  if (effect.do === 'read') {
    sendEvent(model, from, { on: 'row', row: model.row });
    return;
  }
  const versionMatches = (model.row?.version ?? 0) === effect.version;
  const { record, version } = effect;
  if (versionMatches) Object.assign(model, { row: { record, version: version + 1 } });
  if (effect.do !== 'write') return;
  sendEvent(model, from, { on: versionMatches ? 'written' : 'conflict', nonce: effect.record.nonce });
}

function deliverToService(model: LedgerModel, { claim }: Extract<PendingDelivery, { to: 'service' }>) {
  const index = Number(claim.req);
  model.runs.splice(index, 1, model.runs[index]! + 1);
  const agent = model.agents[Number(claim.node)]!;
  if (agent.incarnation !== claim.incarnation) return;
  agent.calls[keyOf(claim)] = 'done';
  sendEvent(model, Number(claim.req), { on: 'result', ...attemptIdOf(claim), result });
}

function deliver(model: LedgerModel, delivery: PendingDelivery) {
  if (delivery.to === 'agent') deliverToAgent(model, delivery);
  else if (delivery.to === 'table') deliverToTable(model, delivery);
  else if (delivery.to === 'service') deliverToService(model, delivery);
  else applyEvent(model, delivery.from, delivery.event);
}

const timerEvents: LedgerEvent[] = [
  { on: 'silent' }, { on: 'lost' }, { on: 'deadline' }, { on: 'abandoned' },
];

/** Reports a lost message to a request that waits for the table; others notice by timeout. */
function reportLoss(model: LedgerModel, delivery: PendingDelivery) {
  if (delivery.to !== 'table') return;
  const { effect, from } = delivery;
  if (effect.do === 'write') applyEvent(model, from, { on: 'writeFailed', nonce: effect.record.nonce });
  if (effect.do === 'read') applyEvent(model, from, { on: 'readFailed' });
}

type Step = (model: LedgerModel) => void;

const failWrite = (from: number, nonce: string): Step => (next) => applyEvent(next, from, { on: 'writeFailed', nonce });

const faultSteps = (model: LedgerModel): Step[] => (model.faults === 0 ? [] : [
  ...model.pending.map((delivery, i): Step => (next) => {
    next.pending.splice(i, 1);
    reportLoss(next, delivery);
  }),
  // A write whose response is lost may still take effect at any later time.
  ...model.pending.flatMap((delivery): Step[] => (delivery.to === 'table' && delivery.effect.do === 'write'
    ? [failWrite(delivery.from, delivery.effect.record.nonce)] : [])),
  ...model.requests.flatMap((request, i): Step[] => (request.alive && request.started ? [
    (next) => {
      Object.assign(next.requests[i]!, { alive: false });
    },
    ...timerEvents.map((event): Step => (next) => applyEvent(next, i, event)),
  ] : [])),
  ...model.agents.map((agent, i): Step => (next) => {
    next.agents.splice(i, 1, { incarnation: agent.incarnation + 1, calls: {} });
  }),
]);

/** All possible next steps; a process that takes none is paused. */
export function possibleSteps(model: LedgerModel): Step[] {
  const starts = model.requests.flatMap((request, i): Step[] => (request.started ? [] : [(next) => {
    Object.assign(next.requests[i]!, { started: true });
    performEffects(next, i, beginCall(String(i), fingerprint)[1]);
  }]));
  const deliveries = model.pending.map((delivery, i): Step => (next) => {
    next.pending.splice(i, 1);
    deliver(next, delivery);
  });
  const faults = faultSteps(model).map((step): Step => (next) => {
    Object.assign(next, { faults: next.faults - 1 });
    step(next);
  });
  return [...starts, ...deliveries, ...faults];
}

/** Describes a violated property of the protocol; undefined if there is none. */
export function findViolation(model: LedgerModel): string | undefined {
  const runs = model.runs.reduce((sum, n) => sum + n, 0);
  if (runs > 1) return 'the call ran more than once';
  const wronglyRefused = model.requests.some(({ outcome }, i) => outcome === 'no' && model.runs[i]! > 0);
  if (wronglyRefused) return 'a call that ran was reported as not run';
  const wronglyCompleted = runs === 0 && model.requests.some(({ outcome }) => outcome === 'completed');
  return wronglyCompleted ? 'a call that did not run was reported as completed' : undefined;
}
