/** A call that may be repeated: goes on elsewhere when an agent refuses, fails or is silent. */
import {
  createRefusal, retryDelayMs, type CancelTimer, type RefusalCode,
} from '@verbenashunt/core';
import { callFrame } from './call-spec.js';
import type {
  ServiceCall, ServiceCallDeps, ServiceCallSink, ServiceCallSpec,
} from './call-spec.js';

const maxAttempts = 4;
/** Time for an agent to accept or refuse. */
const offerTimeoutMs = 1000;

export function createRepeatableCall(
  spec: ServiceCallSpec,
  sink: ServiceCallSink,
  deps: ServiceCallDeps,
): ServiceCall {
  const avoid = new Set<string>();
  let attempts = 0;
  let node: string | undefined;
  /** Some attempt ran or may have run. */
  let ran = false;
  let over = false;
  let cancelDeadline: CancelTimer = () => {};
  let cancelWait: CancelTimer = () => {};

  const timeLeft = () => spec.deadline - deps.clock.now();

  /** Breaks off the current attempt, unless the agent has answered it. */
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
    over = true;
    deps.closed();
  }

  function refuse(code: RefusalCode) {
    close(false);
    sink.refuse(createRefusal(code, ran ? { ran: 'unknown' } : {}));
  }

  /* eslint-disable @typescript-eslint/no-use-before-define -- a failure begins the next try */
  function retry(code: RefusalCode, answered: boolean) {
    if (node !== undefined) avoid.add(node);
    release(answered);
    if (attempts >= maxAttempts || !deps.retries.withdraw()) {
      refuse(code);
      return;
    }
    const delayMs = retryDelayMs(attempts - 1, deps.random, Math.max(0, timeLeft()));
    cancelWait = deps.clock.after(delayMs, () => begin(code));
  }
  /* eslint-enable @typescript-eslint/no-use-before-define */

  function begin(code: RefusalCode) {
    const peer = deps.choose(avoid);
    if (!peer) {
      refuse(code);
      return;
    }
    const attempt = attempts;
    attempts += 1;
    node = peer.node;
    Object.assign(peer, { own: peer.own + 1 });
    cancelWait = deps.clock.after(offerTimeoutMs, () => {
      ran = true;
      retry('no_target', false);
    });
    peer.send(callFrame(spec, deps, attempt, peer.incarnation));
  }

  cancelDeadline = deps.clock.after(Math.max(0, timeLeft()), () => {
    ran ||= node !== undefined;
    refuse('deadline');
  });
  deps.retries.deposit();
  begin('no_target');

  return {
    receive(from, message) {
      if (over || from !== node || !('attempt' in message) || message.attempt !== attempts - 1) return;
      if (message.t === 'accept') {
        ran = true;
        cancelWait();
      } else if (message.t === 'refuse') retry(message.code === 'busy' ? 'overloaded' : 'no_target', true);
      else if (message.t === 'result') {
        close(true);
        sink.result(message.result);
      } else if (message.t === 'fail') {
        ran = true;
        retry('no_target', true);
      }
    },
    lost(from) {
      if (over || from !== node) return;
      ran = true;
      retry('no_target', true);
    },
    resumed(from) {
      if (over || from !== node) return;
      ran = true;
      avoid.delete(from);
      retry('no_target', false);
    },
    cancel() {
      if (!over) close(false);
    },
  };
}
