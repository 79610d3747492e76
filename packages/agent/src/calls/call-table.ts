/** Table of calls to a service: runs each attempt at most once and answers status queries. */
import { callRefusalCode, stateAfterCancel, type Clock } from '@verbenashunt/core';
import type {
  Call, CallResult, Load, Message, StatusReply,
} from '@verbenashunt/schema';
import type { ServiceTarget } from '../targets/service-target.js';
import { createCallStore } from './call-store.js';

export interface CallTableDeps {
  incarnation: number;
  maxActive: number;
  clock: Clock;
  revision(): number;
  admitting(): boolean;
  service: ServiceTarget;
}

export interface CallTable {
  call(call: Call, reply: (message: Message) => void): Promise<void>;
  /**
   * Prevents a later call of this attempt from running and replies whether one ran before. A
   * running call is aborted if it may be repeated; otherwise it runs to completion.
   */
  cancel(req: string, attempt: number, reply: (message: Message) => void): void;
  status(req: string, attempt: number, reply: (message: Message) => void): void;
  readonly active: number;
  load(): Load;
}

export function createCallTable(deps: CallTableDeps): CallTable {
  const store = createCallStore(deps.clock);
  let active = 0;

  const load = (): Load => ({ active, queued: 0, limit: deps.maxActive });
  const keyOf = (req: string, attempt: number) => `${req}:${attempt}`;

  const refusalOf = (
    call: Call,
  ) => callRefusalCode(store.get(keyOf(call.req, call.attempt))?.state, {
    expectedIncarnation: call.incarnation,
    incarnation: deps.incarnation,
    admitting: deps.admitting(),
    revision: call.revision,
    ownRevision: deps.revision(),
    active: store.isFull && !call.repeatable ? deps.maxActive : active,
    maxActive: deps.maxActive,
  });

  async function resultOf(call: Call, signal: AbortSignal): Promise<CallResult | undefined> {
    try {
      return await deps.service.call(call, signal);
    } catch {
      return undefined;
    }
  }

  async function run(call: Call, reply: (message: Message) => void) {
    const { req, attempt, repeatable } = call;
    const key = keyOf(req, attempt);
    const abort = new AbortController();
    store.set(key, { state: 'running', ...(repeatable ? { abort: () => abort.abort() } : {}) });
    active += 1;
    const result = await resultOf(call, abort.signal);
    active -= 1;
    if (repeatable) store.remove(key);
    else store.set(key, result ? { state: 'done', result } : { state: 'failed' });
    reply(result
      ? {
        t: 'result', req, attempt, result, load: load(),
      }
      : {
        t: 'fail', req, attempt, code: 'target_failed',
      });
  }

  return {
    async call(call, reply) {
      const { req, attempt } = call;
      const code = refusalOf(call);
      if (code) {
        reply({
          t: 'refuse', req, attempt, code, revision: deps.revision(), load: load(),
        });
        return;
      }
      reply({
        t: 'accept', req, attempt, load: load(),
      });
      await run(call, reply);
    },
    cancel(req, attempt, reply) {
      const key = keyOf(req, attempt);
      const stored = store.get(key);
      const state = stateAfterCancel(stored?.state);
      if (!stored) store.set(key, { state });
      stored?.abort?.();
      reply({
        t: 'cancelled', req, attempt, ran: state !== 'fenced',
      });
    },
    status(req, attempt, reply) {
      const stored = store.get(keyOf(req, attempt));
      const message: StatusReply = {
        t: 'statusReply', req, attempt, state: stored?.state ?? 'absent',
      };
      reply(stored?.result ? { ...message, result: stored.result } : message);
    },
    get active() {
      return active;
    },
    load,
  };
}
