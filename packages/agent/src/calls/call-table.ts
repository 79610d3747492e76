/** Calls to a plain service: admits each call once and keeps its result for a status question. */
import QuickLru from 'quick-lru';
import type {
  Call, CallResult, Load, Message, StatusReply,
} from '@verbenashunt/schema';
import type { ServiceTarget } from '../targets/service-target.js';

/** Results and fences kept after a call's end. */
const maxKept = 10_000;

interface Entry {
  state: 'running' | 'done' | 'failed' | 'fenced';
  result?: CallResult;
}

export interface CallDeps {
  incarnation: number;
  maxActive: number;
  revision(): number;
  admitting(): boolean;
  service: ServiceTarget;
}

export interface CallTable {
  call(call: Call, reply: (message: Message) => void): Promise<void>;
  /** Keeps a later call of this request from running; tells whether one ran before. */
  cancel(req: string, attempt: number, reply: (message: Message) => void): void;
  status(req: string, attempt: number, reply: (message: Message) => void): void;
  readonly active: number;
  load(): Load;
}

export function createCallTable(deps: CallDeps): CallTable {
  const kept = new QuickLru<string, Entry>({ maxSize: maxKept });
  let active = 0;

  const load = (): Load => ({ active, queued: 0, limit: deps.maxActive });
  const keyOf = (req: string, attempt: number) => `${req}:${attempt}`;

  function refusalOf(call: Call): string | undefined {
    if (call.incarnation !== deps.incarnation) return 'old_incarnation';
    if (kept.has(keyOf(call.req, call.attempt))) return 'fenced';
    if (!deps.admitting()) return 'draining';
    if (call.revision < deps.revision()) return 'stale_config';
    return active >= deps.maxActive ? 'busy' : undefined;
  }

  async function run(call: Call, reply: (message: Message) => void) {
    const { req, attempt } = call;
    const key = keyOf(req, attempt);
    kept.set(key, { state: 'running' });
    active += 1;
    try {
      const result = await deps.service.call(call);
      kept.set(key, { state: 'done', result });
      active -= 1;
      reply({
        t: 'result', req, attempt, result, load: load(),
      });
    } catch {
      kept.set(key, { state: 'failed' });
      active -= 1;
      reply({
        t: 'fail', req, attempt, code: 'target_failed',
      });
    }
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
      const ran = kept.has(key) && kept.get(key)?.state !== 'fenced';
      if (!ran) kept.set(key, { state: 'fenced' });
      reply({
        t: 'cancelled', req, attempt, ran,
      });
    },
    status(req, attempt, reply) {
      const found = kept.get(keyOf(req, attempt));
      const message: StatusReply = {
        t: 'statusReply', req, attempt, state: found?.state ?? 'absent',
      };
      reply(found?.result ? { ...message, result: found.result } : message);
    },
    get active() {
      return active;
    },
    load,
  };
}
