/**
 * A small world around the decisions for calls that may not be repeated: two entries with one
 * request each for the same key, two agents, the service and the table row. Every message may be
 * late, lost or out of order; every process may stop. The decision code is that of the product.
 */
import {
  advanceCall, beginCall, callRefusalCode, stateAfterCancel,
  type CallState, type Claim, type LedgerEffect, type LedgerEvent, type LedgerState,
  type VersionedRecord,
} from '@verbenashunt/core';

export interface World {
  row?: VersionedRecord | undefined;
  agents: { incarnation: number; calls: Record<string, CallState> }[];
  requests: { ledger: LedgerState; alive: boolean; begun: boolean; outcome?: string }[];
  /** What is on its way: to an agent, to the table, to the service or to a request. */
  flying: Flight[];
  /** Runs by request. */
  runs: number[];
  faults: number;
}

type Flight = | { to: 'agent'; from: number; kind: 'offer' | 'fence' | 'ask'; claim: Claim }
  | { to: 'table'; from: number; effect: Extract<LedgerEffect, { do: 'write' | 'note' | 'read' }> }
  | { to: 'service'; claim: Claim }
  | { to: 'request'; from: number; event: LedgerEvent };

const fingerprint = 'body';
const result = { status: 201, headers: {}, body: '' };
const keyOf = ({ req, attempt }: Claim) => `${req}:${attempt}`;

export const createWorld = (faults: number): World => ({
  agents: [{ incarnation: 1, calls: {} }, { incarnation: 1, calls: {} }],
  requests: [0, 1].map((i) => ({
    ledger: beginCall(String(i), fingerprint)[0], alive: true, begun: false,
  })),
  flying: [],
  runs: [0, 0],
  faults,
});

function carryOut(world: World, from: number, effects: LedgerEffect[]) {
  const request = world.requests[from]!;
  effects.forEach((effect) => {
    if (effect.do === 'finish') {
      request.outcome = effect.outcome.kind === 'completed' ? 'completed' : effect.outcome.ran;
    } else if (effect.do === 'choose') {
      const node = [0, 1].find((i) => !effect.avoid.includes(String(i)));
      const event: LedgerEvent = node === undefined ? { on: 'noTarget' } : {
        on: 'target', node: String(node), incarnation: world.agents[node]!.incarnation, nonce: `${from}/${request.ledger.attempts}/${request.ledger.rounds}`, at: '',
      };
      world.flying.push({ to: 'request', from, event });
    } else if ('claim' in effect) {
      world.flying.push({
        to: 'agent', from, kind: effect.do, claim: effect.claim,
      });
    } else world.flying.push({ to: 'table', from, effect });
  });
}

function take(world: World, from: number, event: LedgerEvent) {
  const request = world.requests[from]!;
  if (!request.alive) return;
  const [ledger, effects] = advanceCall(request.ledger, event);
  request.ledger = ledger;
  carryOut(world, from, effects);
}

const tell = (world: World, from: number, event: LedgerEvent) => world.flying
  .push({ to: 'request', from, event });

/** The attempt that an agent speaks of. */
const idOf = ({ req, attempt }: Claim) => ({ req, attempt });

function atAgent(world: World, flight: Extract<Flight, { to: 'agent' }>) {
  const { from, kind, claim } = flight;
  const agent = world.agents[Number(claim.node)]!;
  const held = agent.calls[keyOf(claim)];
  if (kind === 'offer') {
    const code = callRefusalCode(held, {
      expectedIncarnation: claim.incarnation,
      incarnation: agent.incarnation,
      admitting: true,
      revision: 1,
      ownRevision: 1,
      active: 0,
      maxActive: 9,
    });
    if (code) {
      tell(world, from, { on: 'refused', ...idOf(claim), code });
    } else {
      agent.calls[keyOf(claim)] = 'running';
      tell(world, from, { on: 'accepted', ...idOf(claim) });
      world.flying.push({ to: 'service', claim });
    }
    // A connection belongs to one incarnation, so no other one answers a fence or question.
  } else if (agent.incarnation !== claim.incarnation) tell(world, from, { on: 'gone' });
  else if (kind === 'fence') {
    agent.calls[keyOf(claim)] = stateAfterCancel(held);
    tell(world, from, { on: 'cancelled', ...idOf(claim), ran: agent.calls[keyOf(claim)] !== 'fenced' });
  } else {
    const state = held ?? 'absent';
    tell(world, from, {
      on: 'status', ...idOf(claim), state, ...(state === 'done' ? { result } : {}),
    });
  }
}

function atTable(world: World, { from, effect }: Extract<Flight, { to: 'table' }>) {
  if (effect.do === 'read') {
    tell(world, from, { on: 'row', row: world.row });
    return;
  }
  const fits = (world.row?.version ?? 0) === effect.version;
  const { record, version } = effect;
  if (fits) Object.assign(world, { row: { record, version: version + 1 } });
  if (effect.do !== 'write') return;
  tell(world, from, { on: fits ? 'written' : 'conflict', nonce: effect.record.nonce });
}

function atService(world: World, { claim }: Extract<Flight, { to: 'service' }>) {
  const index = Number(claim.req);
  world.runs.splice(index, 1, world.runs[index]! + 1);
  const agent = world.agents[Number(claim.node)]!;
  if (agent.incarnation !== claim.incarnation) return;
  agent.calls[keyOf(claim)] = 'done';
  tell(world, Number(claim.req), { on: 'result', ...idOf(claim), result });
}

function deliver(world: World, flight: Flight) {
  if (flight.to === 'agent') atAgent(world, flight);
  else if (flight.to === 'table') atTable(world, flight);
  else if (flight.to === 'service') atService(world, flight);
  else take(world, flight.from, flight.event);
}

const timers: LedgerEvent[] = [
  { on: 'silent' }, { on: 'lost' }, { on: 'deadline' }, { on: 'abandoned' },
];

/** What a lost message does: the one that waits hears of it, or nobody does. */
function lose(world: World, flight: Flight) {
  if (flight.to !== 'table') return;
  const { effect, from } = flight;
  if (effect.do === 'write') take(world, from, { on: 'writeFailed', nonce: effect.record.nonce });
  if (effect.do === 'read') take(world, from, { on: 'readFailed' });
}

type Step = (world: World) => void;

const timeout = (from: number, nonce: string): Step => (next) => take(next, from, { on: 'writeFailed', nonce });

const faultsOf = (world: World): Step[] => (world.faults === 0 ? [] : [
  ...world.flying.map((flight, i): Step => (next) => {
    next.flying.splice(i, 1);
    lose(next, flight);
  }),
  // A write whose answer is lost takes effect at any later time.
  ...world.flying.flatMap((flight): Step[] => (flight.to === 'table' && flight.effect.do === 'write'
    ? [timeout(flight.from, flight.effect.record.nonce)] : [])),
  ...world.requests.flatMap((request, i): Step[] => (request.alive && request.begun ? [
    (next) => {
      Object.assign(next.requests[i]!, { alive: false });
    },
    ...timers.map((event): Step => (next) => take(next, i, event)),
  ] : [])),
  ...world.agents.map((agent, i): Step => (next) => {
    next.agents.splice(i, 1, { incarnation: agent.incarnation + 1, calls: {} });
  }),
]);

/** Every step that the world can take next; a process that takes none is paused. */
export function stepsOf(world: World): Step[] {
  const begin = world.requests.flatMap((request, i): Step[] => (request.begun ? [] : [(next) => {
    Object.assign(next.requests[i]!, { begun: true });
    carryOut(next, i, beginCall(String(i), fingerprint)[1]);
  }]));
  const arrive = world.flying.map((flight, i): Step => (next) => {
    next.flying.splice(i, 1);
    deliver(next, flight);
  });
  const costly = faultsOf(world).map((step): Step => (next) => {
    Object.assign(next, { faults: next.faults - 1 });
    step(next);
  });
  return [...begin, ...arrive, ...costly];
}

/** What is wrong in a world; undefined when nothing is. */
export function violation(world: World): string | undefined {
  const runs = world.runs.reduce((sum, n) => sum + n, 0);
  if (runs > 1) return 'two runs';
  const lied = world.requests.some(({ outcome }, i) => outcome === 'no' && world.runs[i]! > 0);
  if (lied) return 'told not run of a call that ran';
  const empty = runs === 0 && world.requests.some(({ outcome }) => outcome === 'completed');
  return empty ? 'told completed of a call that did not run' : undefined;
}
