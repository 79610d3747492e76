/** Types and helpers shared by all calls to services. */
import type { Clock, Refusal } from '@verbenashunt/core';
import type { Call, CallResult } from '@verbenashunt/schema';
import type { AgentPeer } from '../peers/agents.js';
import type { CallRecords } from './call-records.js';
import type { RequestRun } from './registry.js';
import type { RetryBudget } from './retries.js';

export interface ServiceCallSpec extends Pick<Call, 'req' | 'org' | 'cls' | 'method' | 'path' | 'headers' | 'body' | 'repeatable'> {
  /** Value of the Idempotency-Key header; undefined only for calls that may be repeated. */
  key: string | undefined;
  /** Monotonic milliseconds. */
  deadline: number;
}

export interface ServiceCallDeps {
  clock: Clock;
  random: () => number;
  entry: string;
  records: CallRecords;
  retries: RetryBudget;
  revision(): number;
  /** Chooses an agent of the route, other than the nodes to avoid. */
  chooseAgent(avoid: ReadonlySet<string>): AgentPeer | undefined;
  agent(node: string): AgentPeer | undefined;
  /** Also passes messages about another request to this call. */
  subscribe(req: string): void;
  /** Called once the call is over; it receives no further messages. */
  onClosed(): void;
}

export interface ServiceCallSink {
  result(result: CallResult): void;
  refuse(refusal: Refusal): void;
}

export type ServiceCall = RequestRun;

/** Creates the message that offers a call to an agent. */
export function createCallMessage(
  { key, deadline, ...call }: ServiceCallSpec,
  deps: ServiceCallDeps,
  attempt: number,
  incarnation: number,
): Call {
  return {
    t: 'call',
    ...call,
    attempt,
    incarnation,
    revision: deps.revision(),
    timeLeftMs: Math.max(0, deadline - deps.clock.now()),
    entry: deps.entry,
  };
}
