/** A call that may be repeated: retried on another agent if one refuses, fails or times out. */
import {
  createRefusal, retryDelayMs, type CancelTimer, type RefusalCode,
} from '@verbenashunt/core';
import { createCallMessage } from './call-spec.js';
import type {
  ServiceCall, ServiceCallDeps, ServiceCallSink, ServiceCallSpec,
} from './call-spec.js';

const maxAttempts = 4;
/** Time for an agent to accept or refuse an offer. */
const offerTimeoutMs = 1000;

export function createRepeatableCall(
  spec: ServiceCallSpec,
  sink: ServiceCallSink,
  deps: ServiceCallDeps,
): ServiceCall {
  const avoid = new Set<string>();
  let attempts = 0;
  let node: string | undefined;
  /** Whether any attempt ran or may have run. */
  let mayHaveRun = false;
  let closed = false;
  let cancelDeadline: CancelTimer = () => {};
  let cancelWait: CancelTimer = () => {};

  const timeLeft = () => spec.deadline - deps.clock.now();

  /** Releases the current agent, and cancels the attempt there unless the agent has ended it. */
  function release(answered: boolean) {
    cancelWait();
    const peer = node === undefined ? undefined : deps.agent(node);
    node = undefined;
    if (!peer) return;
    Object.assign(peer, { own: Math.max(0, peer.own - 1) });
    if (!answered) peer.send({ t: 'cancel', req: spec.req, attempt: attempts - 1 });
  }

  function close(answered: boolean) {
    cancelDeadline();
    release(answered);
    closed = true;
    deps.onClosed();
  }

  function refuse(code: RefusalCode) {
    close(false);
    sink.refuse(createRefusal(code, mayHaveRun ? { ran: 'unknown' } : {}));
  }

  /* eslint-disable @typescript-eslint/no-use-before-define -- a failure starts the next attempt */
  function retry(code: RefusalCode, answered: boolean) {
    if (node !== undefined) avoid.add(node);
    release(answered);
    if (attempts >= maxAttempts || !deps.retries.withdraw()) {
      refuse(code);
      return;
    }
    const delayMs = retryDelayMs(attempts - 1, deps.random, Math.max(0, timeLeft()));
    cancelWait = deps.clock.after(delayMs, () => offerToNextAgent(code));
  }
  /* eslint-enable @typescript-eslint/no-use-before-define */

  function offerToNextAgent(code: RefusalCode) {
    const peer = deps.chooseAgent(avoid);
    if (!peer) {
      refuse(code);
      return;
    }
    const attempt = attempts;
    attempts += 1;
    node = peer.node;
    Object.assign(peer, { own: peer.own + 1 });
    cancelWait = deps.clock.after(offerTimeoutMs, () => {
      mayHaveRun = true;
      retry('no_target', false);
    });
    peer.send(createCallMessage(spec, deps, attempt, peer.incarnation));
  }

  cancelDeadline = deps.clock.after(Math.max(0, timeLeft()), () => {
    mayHaveRun ||= node !== undefined;
    refuse('deadline');
  });
  deps.retries.deposit();
  offerToNextAgent('no_target');

  return {
    receive(from, message) {
      if (closed || from !== node || !('attempt' in message)
        || message.attempt !== attempts - 1) return;
      if (message.t === 'accept') {
        mayHaveRun = true;
        cancelWait();
      } else if (message.t === 'refuse') retry(message.code === 'busy' ? 'overloaded' : 'no_target', true);
      else if (message.t === 'result') {
        close(true);
        sink.result(message.result);
      } else if (message.t === 'fail') {
        mayHaveRun = true;
        retry('no_target', true);
      }
    },
    onAgentLost(from) {
      if (closed || from !== node) return;
      mayHaveRun = true;
      retry('no_target', true);
    },
    onAgentResumed(from) {
      if (closed || from !== node) return;
      mayHaveRun = true;
      avoid.delete(from);
      retry('no_target', false);
    },
    cancel() {
      if (!closed) close(false);
    },
  };
}
