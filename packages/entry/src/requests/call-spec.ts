/** What every kind of call to a plain service needs. */
import type { Clock, Refusal } from '@verbenashunt/core';
import type { Call, CallResult } from '@verbenashunt/schema';
import type { AgentPeer } from '../peers/agents.js';
import type { CallRecords } from './call-records.js';
import type { RequestRun } from './registry.js';
import type { RetryBudget } from './retries.js';

export interface ServiceCallSpec extends Pick<Call, 'req' | 'org' | 'cls' | 'method' | 'path' | 'headers' | 'body' | 'repeatable'> {
  /** Idempotency-Key; every call that may not be repeated has one. */
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
  /** Chooses an agent of the route that is not among those to avoid. */
  choose(avoid: ReadonlySet<string>): AgentPeer | undefined;
  agent(node: string): AgentPeer | undefined;
  /** Frames of another request are to be heard too. */
  follow(req: string): void;
  closed(): void;
}

export interface ServiceCallSink {
  result(result: CallResult): void;
  refuse(refusal: Refusal): void;
}

export type ServiceCall = RequestRun;

/** The frame that offers a call to an agent. */
export function callFrame(
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
