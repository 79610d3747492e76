/**
 * The stages that this agent runs: admits offers, runs each position once and in order,
 * passes outputs to the next stage and tokens to the entry.
 */
import QuickLru from 'quick-lru';
import type {
  EngineOp, EngineOut, Fail, Feed, Hop, Load, LoadedModel, Message, Offer, Start, Step,
} from '@verbenashunt/schema';

/** Requests whose fence is remembered after their end. */
const maxFences = 100_000;

interface Stage {
  offer: Offer;
  /** Next position to run. */
  next: number;
  /** Tokens sent to the entry; last stage only. */
  produced: number;
  started: boolean;
  ended: boolean;
  /** Sends to the entry that made the offer. */
  reply: (message: Message) => void;
}

export interface StageDeps {
  incarnation: number;
  maxActive: number;
  revision(): number;
  /** Whether the target takes new work. */
  admitting(): boolean;
  loaded(): readonly LoadedModel[];
  run(op: EngineOp): void;
  forward(hop: Hop, message: Message): void;
  /** Counts an event that needs no answer. */
  count(event: StageEvent): void;
}

export type StageEvent = 'accepted' | 'refused' | 'completed' | 'failed' | 'dropped' | 'cancelled';

export interface StageTable {
  offer(offer: Offer, reply: Stage['reply']): void;
  start(start: Start): void;
  step(step: Step): void;
  feed(feed: Feed): void;
  /** Fences attempts up to and including this one. */
  cancel(req: string, attempt: number, reply: Stage['reply']): void;
  status(req: string, attempt: number, reply: Stage['reply']): void;
  output(out: EngineOut): void;
  /** The engine lost all sequences. */
  engineLost(): void;
  /** The connection to a next stage broke. */
  hopLost(node: string): void;
  /** An entry is gone; its stages are freed. */
  entryLost(entry: string): void;
  readonly active: number;
  load(): Load;
}

const sequenceOf = ({ req, attempt }: { req: string; attempt: number }) => `${req}:${attempt}`;

export function createStageTable(deps: StageDeps): StageTable {
  const stages = new Map<string, Stage>();
  const fences = new QuickLru<string, number>({ maxSize: maxFences });

  const load = (): Load => ({ active: stages.size, queued: 0, limit: deps.maxActive });

  function refusalOf(offer: Offer): string | undefined {
    if (offer.incarnation !== deps.incarnation) return 'old_incarnation';
    if ((fences.get(offer.req) ?? -1) >= offer.attempt) return 'fenced';
    if (!deps.admitting()) return 'draining';
    if (offer.revision < deps.revision()) return 'stale_config';
    const { model, version, range } = offer;
    const held = deps.loaded().some((l) => l.model === model && l.version === version
      && l.lo <= range.lo && l.hi >= range.hi);
    if (!held) return 'not_loaded';
    return stages.size >= deps.maxActive ? 'busy' : undefined;
  }

  function drop(stage: Stage) {
    const { req, attempt } = stage.offer;
    if (stages.get(req) !== stage) return;
    stages.delete(req);
    if (stage.started) deps.run({ op: 'cancel', seq: sequenceOf({ req, attempt }) });
  }

  function fence(req: string, attempt: number) {
    fences.set(req, Math.max(fences.get(req) ?? -1, attempt));
    const stage = stages.get(req);
    if (stage && stage.offer.attempt <= attempt) drop(stage);
  }

  function fail(stage: Stage, code: string, node?: string) {
    const { req, attempt } = stage.offer;
    const message: Fail = {
      t: 'fail', req, attempt, code, ...(node === undefined ? {} : { node }),
    };
    stage.reply(message);
    deps.count('failed');
    fence(req, attempt);
  }

  function find({ req, attempt }: { req: string; attempt: number }): Stage | undefined {
    const stage = stages.get(req);
    if (stage?.offer.attempt === attempt) return stage;
    deps.count('dropped');
    return undefined;
  }

  /** Runs positions [pos, pos + count) when they are the next ones. */
  function run(stage: Stage, pos: number, count: number, input: Pick<EngineOp, 'tokens' | 'hidden'>) {
    if (pos < stage.next) {
      deps.count('dropped');
      return;
    }
    if (pos > stage.next) {
      fail(stage, 'gap');
      return;
    }
    Object.assign(stage, { next: pos + count, started: true });
    const { model, range, priority } = stage.offer;
    deps.run({
      op: 'run', seq: sequenceOf(stage.offer), model, lo: range.lo, hi: range.hi, pos, priority, ...input,
    });
  }

  function finish(stage: Stage, reason: 'stop' | 'length') {
    const { req, attempt } = stage.offer;
    Object.assign(stage, { ended: true });
    stage.reply({
      t: 'end', req, attempt, count: stage.produced, reason, load: load(),
    });
    deps.count('completed');
  }

  /** Passes a sampled token to the entry and, when the answer goes on, to the first stage. */
  function emit(stage: Stage, token: number, stop: boolean) {
    const { req, attempt, ...offer } = stage.offer;
    stage.reply({
      t: 'token', req, attempt, seq: stage.produced, token,
    });
    Object.assign(stage, { produced: stage.produced + 1 });
    if (stop || stage.produced >= offer.maxTokens) {
      finish(stage, stop ? 'stop' : 'length');
      return;
    }
    const feed: Feed = {
      t: 'feed', req, attempt, pos: stage.next, token,
    };
    if (offer.stages === 1) run(stage, feed.pos, 1, { tokens: [token] });
    else deps.forward(offer.next, feed);
  }

  return {
    offer(offer, reply) {
      const { req, attempt } = offer;
      const code = refusalOf(offer);
      if (code) {
        deps.count('refused');
        reply({
          t: 'refuse', req, attempt, code, revision: deps.revision(), load: load(),
        });
        return;
      }
      const older = stages.get(req);
      if (older) drop(older);
      stages.set(req, {
        offer, next: 0, produced: 0, started: false, ended: false, reply,
      });
      deps.count('accepted');
      reply({
        t: 'accept', req, attempt, load: load(),
      });
    },
    start(start) {
      const stage = find(start);
      if (!stage || stage.offer.index !== 0) return;
      run(stage, 0, start.tokens.length, { tokens: start.tokens });
    },
    step(step) {
      const stage = find(step);
      if (stage) run(stage, step.pos, step.hidden.length, { hidden: step.hidden });
    },
    feed(feed) {
      const stage = find(feed);
      if (stage) run(stage, feed.pos, 1, { tokens: [feed.token] });
    },
    cancel(req, attempt, reply) {
      const ran = stages.get(req)?.started ?? false;
      fence(req, attempt);
      deps.count('cancelled');
      reply({
        t: 'cancelled', req, attempt, ran,
      });
    },
    status(req, attempt, reply) {
      const stage = stages.get(req);
      const fenced = (fences.get(req) ?? -1) >= attempt;
      const held = stage?.started ? 'running' : 'accepted';
      const live = stage?.offer.attempt === attempt ? held : 'absent';
      reply({
        t: 'statusReply', req, attempt, state: fenced ? 'fenced' : live,
      });
    },
    output(out) {
      const at = out.seq.lastIndexOf(':');
      const stage = find({ req: out.seq.slice(0, at), attempt: Number(out.seq.slice(at + 1)) });
      if (!stage) return;
      const { req, attempt, next } = stage.offer;
      if (out.error) fail(stage, out.error);
      else if (out.token !== undefined) emit(stage, out.token, out.stop ?? false);
      else {
        deps.forward(next, {
          t: 'step', req, attempt, pos: out.pos ?? 0, hidden: out.hidden ?? [],
        });
      }
    },
    engineLost() {
      [...stages.values()].forEach((stage) => fail(stage, 'target_lost'));
    },
    hopLost(node) {
      [...stages.values()].filter(({ offer, ended }) => offer.next.node === node && !ended)
        .forEach((stage) => fail(stage, 'hop_lost', node));
    },
    entryLost(entry) {
      [...stages.values()].filter(({ offer }) => offer.entry === entry)
        .forEach(({ offer }) => fence(offer.req, offer.attempt));
    },
    get active() {
      return stages.size;
    },
    load,
  };
}
