/** A call that may not be repeated: carries out what the ledger decides. */
import {
  advanceCall, beginCall, ConflictError, createRefusal, sha256,
  type AgentEvent, type CancelTimer, type Claim, type LedgerEffect, type LedgerEvent,
  type LedgerOutcome, type LedgerState, type LedgerStep,
} from '@verbenashunt/core';
import type { CallRecord, Message } from '@verbenashunt/schema';
import type { AgentPeer } from '../peers/agents.js';
import { callFrame } from './call-spec.js';
import type {
  ServiceCall, ServiceCallDeps, ServiceCallSink, ServiceCallSpec,
} from './call-spec.js';

/** Time for an agent to answer an offer or question. */
const answerTimeoutMs = 1000;
/** Time for a lost agent to come back, after which the outcome is unknown. */
const returnTimeoutMs = 2000;
const returnPollMs = 50;
const askIntervalMs = 50;
const noteRetryMs = 500;
const maxNoteTries = 4;
const nonceDigits = 16;

/** What an agent's frame tells the ledger. */
function eventOf(message: Message): AgentEvent | undefined {
  if (!('attempt' in message)) return undefined;
  const { req, attempt } = message;
  if (message.t === 'accept') return { on: 'accepted', req, attempt };
  if (message.t === 'fail') return { on: 'failed', req, attempt };
  if (message.t === 'refuse') {
    return {
      on: 'refused', req, attempt, code: message.code,
    };
  }
  if (message.t === 'result') {
    return {
      on: 'result', req, attempt, result: message.result,
    };
  }
  if (message.t === 'cancelled') {
    return {
      on: 'cancelled', req, attempt, ran: message.ran,
    };
  }
  if (message.t !== 'statusReply') return undefined;
  return {
    on: 'status', req, attempt, state: message.state, result: message.result,
  };
}

export function createOnceCall(
  spec: ServiceCallSpec,
  key: string,
  sink: ServiceCallSink,
  deps: ServiceCallDeps,
): ServiceCall {
  const fingerprint = sha256(`${spec.method} ${spec.path}\n${spec.body}`);
  let state: LedgerState;
  let abandoned = false;
  let held: AgentPeer | undefined;
  let cancelWait: CancelTimer = () => {};
  let cancelDeadline: CancelTimer = () => {};

  /* eslint-disable @typescript-eslint/no-use-before-define -- an effect brings the next event */
  function on(event: LedgerEvent) {
    apply(advanceCall(state, event));
  }

  function apply([next, effects]: LedgerStep) {
    state = next;
    effects.forEach(perform);
    if (state.phase === 'over' && effects.length === 0) close();
  }
  /* eslint-enable @typescript-eslint/no-use-before-define */

  function wait(ms: number, callback: () => void) {
    cancelWait();
    cancelWait = deps.clock.after(ms, callback);
  }

  function release() {
    if (held) Object.assign(held, { own: Math.max(0, held.own - 1) });
    held = undefined;
  }

  function close() {
    cancelWait();
    cancelDeadline();
    release();
    deps.closed();
  }

  function finish(outcome: LedgerOutcome) {
    close();
    if (abandoned) return;
    if (outcome.kind === 'completed') sink.result(outcome.result);
    else sink.refuse(createRefusal(outcome.code, { ran: outcome.ran }));
  }

  function choose(avoid: readonly string[]) {
    const peer = deps.choose(new Set(avoid));
    on(peer ? {
      on: 'target',
      node: peer.node,
      incarnation: peer.incarnation,
      nonce: `${spec.req}/${state.attempts}/${deps.random().toString(nonceDigits)}`,
      at: new Date(deps.clock.wall()).toISOString(),
    } : { on: 'noTarget' });
  }

  async function write(version: number, record: CallRecord) {
    const { nonce } = record;
    try {
      await deps.records.write(spec.org, key, version, record);
      on({ on: 'written', nonce });
    } catch (err) {
      on({ on: err instanceof ConflictError ? 'conflict' : 'writeFailed', nonce });
    }
  }

  async function read() {
    try {
      on({ on: 'row', row: await deps.records.read(spec.org, key) });
    } catch {
      on({ on: 'readFailed' });
    }
  }

  /** Writes in the background; the agent answers for the call until the write is there. */
  async function note(version: number, record: CallRecord, tries = 1): Promise<void> {
    try {
      await deps.records.write(spec.org, key, version, record);
    } catch (err) {
      if (err instanceof ConflictError || tries >= maxNoteTries) return;
      deps.clock.after(noteRetryMs * tries, () => note(version, record, tries + 1));
    }
  }

  function offer({ node, incarnation, attempt }: Claim) {
    const peer = deps.agent(node);
    if (peer?.incarnation !== incarnation) {
      on({
        on: 'refused', req: spec.req, attempt, code: 'absent',
      });
      return;
    }
    release();
    held = peer;
    Object.assign(peer, { own: peer.own + 1 });
    wait(answerTimeoutMs, () => on({ on: 'silent' }));
    peer.send(callFrame(spec, deps, attempt, incarnation));
  }

  /** Sends to the very incarnation of a claim, waiting a bounded time for it to come back. */
  function reach(claim: Claim, t: 'cancel' | 'status', since = deps.clock.now()) {
    if (claim.req !== spec.req) deps.follow(claim.req);
    const peer = deps.agent(claim.node);
    if (peer && peer.incarnation !== claim.incarnation) {
      on({ on: 'gone' });
    } else if (peer) {
      wait(answerTimeoutMs, () => on({ on: 'silent' }));
      peer.send({ t, req: claim.req, attempt: claim.attempt });
    } else if (deps.clock.now() - since >= returnTimeoutMs) on({ on: 'silent' });
    else wait(returnPollMs, () => reach(claim, t, since));
  }

  function perform(effect: LedgerEffect) {
    switch (effect.do) {
      case 'choose': choose(effect.avoid);
        break;
      case 'write': write(effect.version, effect.record);
        break;
      case 'note': note(effect.version, effect.record);
        break;
      case 'read': read();
        break;
      case 'offer': offer(effect.claim);
        break;
      case 'fence': reach(effect.claim, 'cancel');
        break;
      case 'ask': wait(askIntervalMs, () => reach(effect.claim, 'status'));
        break;
      default: finish(effect.outcome);
    }
  }

  cancelDeadline = deps.clock.after(
    Math.max(0, spec.deadline - deps.clock.now()),
    () => on({ on: 'deadline' }),
  );
  apply(beginCall(spec.req, fingerprint));

  return {
    receive(node, message) {
      const event = eventOf(message);
      if (!event || node !== state.record?.node) return;
      if (event.on === 'accepted') cancelWait();
      on(event);
    },
    lost(node) {
      if (node === state.record?.node) on({ on: 'lost' });
    },
    resumed(node) {
      if (node !== state.record?.node) return;
      if (state.phase === 'fencing') reach(state.record, 'cancel');
      else on({ on: 'lost' });
    },
    cancel() {
      abandoned = true;
      on({ on: 'abandoned' });
    },
  };
}
