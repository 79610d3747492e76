/** One call to a plain service: offered until an agent accepts, repeated only where allowed. */
import {
  createRefusal, type CancelTimer, type Clock, type Refusal, type RefusalCode,
} from '@verbenashunt/core';
import type { Call, CallResult } from '@verbenashunt/schema';
import type { AgentPeer } from '../peers/agents.js';
import type { RequestRun } from './registry.js';

const maxAttempts = 3;

export interface ServiceCallSpec extends Pick<Call, 'req' | 'org' | 'cls' | 'method' | 'path' | 'headers' | 'body' | 'repeatable'> {
  /** Monotonic milliseconds. */
  deadline: number;
}

export interface ServiceCallDeps {
  clock: Clock;
  entry: string;
  revision(): number;
  /** Chooses an agent of the route that is not among those to avoid. */
  choose(avoid: ReadonlySet<string>): AgentPeer | undefined;
  agent(node: string): AgentPeer | undefined;
  closed(): void;
}

export interface ServiceCallSink {
  result(result: CallResult): void;
  refuse(refusal: Refusal): void;
}

export type ServiceCall = RequestRun;

export function createServiceCall(
  spec: ServiceCallSpec,
  sink: ServiceCallSink,
  deps: ServiceCallDeps,
): ServiceCall {
  const avoid = new Set<string>();
  let attempts = 0;
  let node: string | undefined;
  /** The current attempt may have run. */
  let exposed = false;
  let over = false;
  let cancelTimer: CancelTimer = () => {};

  function release() {
    const peer = node === undefined ? undefined : deps.agent(node);
    if (peer) Object.assign(peer, { own: Math.max(0, peer.own - 1) });
    node = undefined;
  }

  function close() {
    cancelTimer();
    release();
    over = true;
    deps.closed();
  }

  function refuse(code: RefusalCode) {
    const maybeRan = exposed;
    close();
    sink.refuse(createRefusal(maybeRan ? 'outcome_unknown' : code));
  }

  function begin(code: RefusalCode) {
    const timeLeftMs = spec.deadline - deps.clock.now();
    const peer = deps.choose(avoid);
    if (timeLeftMs <= 0 || !peer || attempts >= maxAttempts) {
      refuse(timeLeftMs <= 0 ? 'deadline' : code);
      return;
    }
    const { deadline, ...call } = spec;
    node = peer.node;
    exposed = true;
    Object.assign(peer, { own: peer.own + 1 });
    peer.send({
      t: 'call',
      ...call,
      attempt: attempts,
      incarnation: peer.incarnation,
      revision: deps.revision(),
      timeLeftMs,
      entry: deps.entry,
    });
    attempts += 1;
  }

  /** The attempt did not run, or may run again. */
  function retry(code: RefusalCode) {
    if (node !== undefined) avoid.add(node);
    release();
    exposed = false;
    begin(code);
  }

  cancelTimer = deps.clock.after(Math.max(0, spec.deadline - deps.clock.now()), () => {
    if (!over) refuse('deadline');
  });
  begin('no_target');
  return {
    receive(from, message) {
      if (over || from !== node || !('attempt' in message) || message.attempt !== attempts - 1) return;
      if (message.t === 'refuse') retry(message.code === 'busy' ? 'overloaded' : 'no_target');
      else if (message.t === 'result') {
        close();
        sink.result(message.result);
      } else if (message.t === 'fail') {
        if (spec.repeatable) retry('no_target');
        else refuse('outcome_unknown');
      }
    },
    lost(from) {
      if (over || from !== node) return;
      if (spec.repeatable) retry('no_target');
      else refuse('outcome_unknown');
    },
    resumed() {},
    cancel() {
      if (!over) close();
    },
  };
}
