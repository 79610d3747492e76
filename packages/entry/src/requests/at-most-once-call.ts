/** A non-idempotent call: performs the effects that the call ledger's state machine yields. */
import {
  advanceCall, beginCall, ConflictError, createRefusal, sha256,
  type AgentEvent, type CancelTimer, type Claim, type LedgerEffect, type LedgerEvent,
  type LedgerOutcome, type LedgerState, type LedgerStep,
} from '@verbenashunt/core';
import type { CallRecord, Message } from '@verbenashunt/schema';
import type { AgentPeer } from '../peers/agents.js';
import { createCallMessage } from './call-spec.js';
import type {
  ServiceCall, ServiceCallDeps, ServiceCallSink, ServiceCallSpec,
} from './call-spec.js';

/** Time for an agent to reply to an offer, a cancel or a status request. */
const replyTimeoutMs = 1000;
/** Time for a lost agent to reconnect, after which the outcome of the call is unknown. */
const reconnectTimeoutMs = 2000;
const reconnectPollMs = 50;
const statusIntervalMs = 50;
const backgroundRetryMs = 500;
const maxBackgroundTries = 4;
const nonceRadix = 16;

/** Converts an agent's message to a ledger event. */
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

export function createAtMostOnceCall(
  spec: ServiceCallSpec,
  key: string,
  sink: ServiceCallSink,
  deps: ServiceCallDeps,
): ServiceCall {
  const fingerprint = sha256(`${spec.method} ${spec.path}\n${spec.body}`);
  let state: LedgerState;
  let abandoned = false;
  let offeredPeer: AgentPeer | undefined;
  let cancelWait: CancelTimer = () => {};
  let cancelDeadline: CancelTimer = () => {};

  /* eslint-disable @typescript-eslint/no-use-before-define -- an effect leads to the next event */
  function handleEvent(event: LedgerEvent) {
    applyStep(advanceCall(state, event));
  }

  function applyStep([next, effects]: LedgerStep) {
    state = next;
    effects.forEach(performEffect);
    if (state.phase === 'over' && effects.length === 0) close();
  }
  /* eslint-enable @typescript-eslint/no-use-before-define */

  function wait(ms: number, callback: () => void) {
    cancelWait();
    cancelWait = deps.clock.after(ms, callback);
  }

  function release() {
    if (offeredPeer) Object.assign(offeredPeer, { own: Math.max(0, offeredPeer.own - 1) });
    offeredPeer = undefined;
  }

  function close() {
    cancelWait();
    cancelDeadline();
    release();
    deps.onClosed();
  }

  function finish(outcome: LedgerOutcome) {
    close();
    if (abandoned) return;
    if (outcome.kind === 'completed') sink.result(outcome.result);
    else sink.refuse(createRefusal(outcome.code, { ran: outcome.ran }));
  }

  function chooseTarget(avoid: readonly string[]) {
    const peer = deps.chooseAgent(new Set(avoid));
    handleEvent(peer ? {
      on: 'target',
      node: peer.node,
      incarnation: peer.incarnation,
      nonce: `${spec.req}/${state.attempts}/${deps.random().toString(nonceRadix)}`,
      at: new Date(deps.clock.wall()).toISOString(),
    } : { on: 'noTarget' });
  }

  async function write(version: number, record: CallRecord) {
    const { nonce } = record;
    try {
      await deps.records.write(spec.org, key, version, record);
      handleEvent({ on: 'written', nonce });
    } catch (err) {
      handleEvent({ on: err instanceof ConflictError ? 'conflict' : 'writeFailed', nonce });
    }
  }

  async function read() {
    try {
      handleEvent({ on: 'row', row: await deps.records.read(spec.org, key) });
    } catch {
      handleEvent({ on: 'readFailed' });
    }
  }

  /** Writes in the background; until the record is stored, the agent still knows the outcome. */
  async function writeInBackground(version: number, record: CallRecord, tries = 1): Promise<void> {
    try {
      await deps.records.write(spec.org, key, version, record);
    } catch (err) {
      if (err instanceof ConflictError || tries >= maxBackgroundTries) return;
      deps.clock.after(
        backgroundRetryMs * tries,
        () => writeInBackground(version, record, tries + 1),
      );
    }
  }

  function offer({ node, incarnation, attempt }: Claim) {
    const peer = deps.agent(node);
    if (peer?.incarnation !== incarnation) {
      handleEvent({
        on: 'refused', req: spec.req, attempt, code: 'absent',
      });
      return;
    }
    release();
    offeredPeer = peer;
    Object.assign(peer, { own: peer.own + 1 });
    wait(replyTimeoutMs, () => handleEvent({ on: 'silent' }));
    peer.send(createCallMessage(spec, deps, attempt, incarnation));
  }

  /** Messages the agent incarnation of a claim; waits a limited time for it to reconnect. */
  function sendToClaimHolder(claim: Claim, t: 'cancel' | 'status', since = deps.clock.now()) {
    if (claim.req !== spec.req) deps.subscribe(claim.req);
    const peer = deps.agent(claim.node);
    if (peer && peer.incarnation !== claim.incarnation) {
      handleEvent({ on: 'gone' });
    } else if (peer) {
      wait(replyTimeoutMs, () => handleEvent({ on: 'silent' }));
      peer.send({ t, req: claim.req, attempt: claim.attempt });
    } else if (deps.clock.now() - since >= reconnectTimeoutMs) handleEvent({ on: 'silent' });
    else wait(reconnectPollMs, () => sendToClaimHolder(claim, t, since));
  }

  function performEffect(effect: LedgerEffect) {
    switch (effect.do) {
      case 'choose': chooseTarget(effect.avoid);
        break;
      case 'write': write(effect.version, effect.record);
        break;
      case 'note': writeInBackground(effect.version, effect.record);
        break;
      case 'read': read();
        break;
      case 'offer': offer(effect.claim);
        break;
      case 'fence': sendToClaimHolder(effect.claim, 'cancel');
        break;
      case 'ask': wait(statusIntervalMs, () => sendToClaimHolder(effect.claim, 'status'));
        break;
      default: finish(effect.outcome);
    }
  }

  cancelDeadline = deps.clock.after(
    Math.max(0, spec.deadline - deps.clock.now()),
    () => handleEvent({ on: 'deadline' }),
  );
  applyStep(beginCall(spec.req, fingerprint));

  return {
    receive(node, message) {
      const event = eventOf(message);
      if (!event || node !== state.record?.node) return;
      if (event.on === 'accepted') cancelWait();
      handleEvent(event);
    },
    onAgentLost(node) {
      if (node === state.record?.node) handleEvent({ on: 'lost' });
    },
    onAgentResumed(node) {
      if (node !== state.record?.node) return;
      if (state.phase === 'fencing') sendToClaimHolder(state.record, 'cancel');
      else handleEvent({ on: 'lost' });
    },
    cancel() {
      abandoned = true;
      handleEvent({ on: 'abandoned' });
    },
  };
}
