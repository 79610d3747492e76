/**
 * The stages that this agent runs: admits offers, runs each position once and in order,
 * passes outputs to the next stage and tokens to the entry.
 */
import QuickLru from 'quick-lru';
import type { Clock } from '@verbenashunt/core';
import type {
  Adopt, EngineOp, EngineOut, Fail, Feed, Hop, Load, LoadedModel, Message, Offer, Replay, Resume,
  Start, Step,
} from '@verbenashunt/schema';
import { refuseOffer } from './admission.js';
import { createStageOutputs } from './outputs.js';
import {
  createKeptOutputs, createStage, isFirst, isLast, trimInput, type Stage, type StageInput,
} from './stage.js';

/** Requests whose fence is remembered after their end. */
const maxFences = 100_000;

export interface StageDeps {
  clock: Clock;
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

export type StageEvent = 'accepted' | 'refused' | 'completed' | 'failed' | 'dropped' | 'cancelled' | 'adopted' | 'expired';

/** What a failure tells besides its code. */
type FailureDetails = Pick<Fail, 'node' | 'suspects'>;

export interface StageTable {
  offer(offer: Offer, reply: Stage['reply']): void;
  start(start: Start): void;
  step(step: Step): void;
  feed(feed: Feed): void;
  adopt(adopt: Adopt, reply: Stage['reply']): void;
  replay(replay: Replay): void;
  /** Sends the tokens from a sequence number on again. */
  resume(resume: Resume, reply: Stage['reply']): void;
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
  /** Bytes of outputs kept for a recovery. */
  readonly keptBytes: number;
  load(): Load;
}

export function createStageTable(deps: StageDeps): StageTable {
  const stages = new Map<string, Stage>();
  const bySequence = new Map<string, Stage>();
  const fences = new QuickLru<string, number>({ maxSize: maxFences });
  const keptOutputs = createKeptOutputs();

  const load = (): Load => ({ active: stages.size, queued: 0, limit: deps.maxActive });

  const suspects = () => [...stages.values()].filter(({ offer }) => offer.suspect);

  function refusalOf(offer: Offer): string | undefined {
    const code = refuseOffer(offer, {
      ...deps, active: stages.size, fencedTo: fences.get(offer.req) ?? -1,
    });
    if (code || !offer.suspect) return code;
    // Two suspects on one target could not be told apart by its next crash.
    return suspects().some((other) => other.offer.req !== offer.req) ? 'apart' : undefined;
  }

  function drop(stage: Stage) {
    if (stages.get(stage.offer.req) !== stage) return;
    stages.delete(stage.offer.req);
    bySequence.delete(stage.seq);
    stage.cancelDeadline();
    keptOutputs.release(stage);
    if (stage.started) deps.run({ op: 'cancel', seq: stage.seq });
  }

  function fence(req: string, attempt: number) {
    fences.set(req, Math.max(fences.get(req) ?? -1, attempt));
    const stage = stages.get(req);
    if (stage && stage.offer.attempt <= attempt) drop(stage);
  }

  function tellFailure(stage: Stage, code: string, details: FailureDetails = {}) {
    const { req, attempt } = stage.offer;
    const message: Fail = {
      t: 'fail', req, attempt, code, ...details,
    };
    stage.reply(message);
    deps.count('failed');
  }

  function fail(stage: Stage, code: string, details?: FailureDetails) {
    tellFailure(stage, code, details);
    fence(stage.offer.req, stage.offer.attempt);
  }

  function find({ req, attempt }: { req: string; attempt: number }): Stage | undefined {
    const stage = stages.get(req);
    if (stage?.offer.attempt === attempt) return stage;
    deps.count('dropped');
    return undefined;
  }

  /** Runs the part of an input from the next position on; each position runs once. */
  function run(stage: Stage, pos: number, input: StageInput) {
    if (pos > stage.next) {
      // Two senders may overtake each other, by one input at the most.
      if (stage.early && stage.early.pos !== pos) fail(stage, 'gap');
      else Object.assign(stage, { early: { pos, input } });
      return;
    }
    const fresh = trimInput(input, stage.next - pos);
    if (!fresh) {
      deps.count('dropped');
      return;
    }
    const at = stage.next;
    const count = fresh.tokens?.length ?? fresh.hidden?.length ?? 0;
    Object.assign(stage, { next: at + count, started: true });
    const {
      model, range, priority, promptTokens,
    } = stage.offer;
    stage.ends.set(at, stage.next);
    stage.fed.push(...(fresh.tokens ?? []).slice(Math.max(0, promptTokens - at)));
    deps.run({
      op: 'run', seq: stage.seq, model, lo: range.lo, hi: range.hi, pos: at, priority, ...fresh,
    });
    const { early } = stage;
    Object.assign(stage, { early: undefined });
    if (early) run(stage, early.pos, early.input);
  }

  const outputs = createStageOutputs({
    ...deps, load, run, fail,
  });

  function tellAdopted(stage: Stage, reply: Stage['reply']) {
    const { req, attempt } = stage.offer;
    reply({
      t: 'adopted',
      req,
      attempt,
      pos: stage.next,
      outputs: stage.outputs,
      kept: isLast(stage) ? 0 : stage.kept.from,
      offered: stage.offer.promptTokens,
      fed: stage.fed,
    });
  }

  function expire(req: string, attempt: number) {
    deps.count('expired');
    fence(req, attempt);
  }

  return {
    offer(offer, reply) {
      const { req, attempt } = offer;
      const older = stages.get(req);
      const known = older?.offer.attempt === attempt && offer.incarnation === deps.incarnation;
      const code = known ? undefined : refusalOf(offer);
      if (code) {
        deps.count('refused');
        reply({
          t: 'refuse', req, attempt, code, revision: deps.revision(), load: load(),
        });
        return;
      }
      if (!known) {
        if (older) drop(older);
        const stage = createStage(offer, reply, deps.clock.after(
          offer.timeLeftMs,
          () => expire(req, stage.offer.attempt),
        ));
        stages.set(req, stage);
        bySequence.set(stage.seq, stage);
        deps.count('accepted');
      }
      reply({
        t: 'accept', req, attempt, load: load(),
      });
    },
    start(start) {
      const stage = find(start);
      if (stage && isFirst(stage)) run(stage, 0, { tokens: start.tokens });
    },
    step(step) {
      const stage = find(step);
      if (stage) run(stage, step.pos, { hidden: step.hidden });
    },
    feed(message) {
      const stage = find(message);
      if (stage) run(stage, message.pos, { tokens: [message.token] });
    },
    adopt(adopt, reply) {
      const { req, attempt, to } = adopt;
      const stage = stages.get(req);
      if (stage?.offer.attempt === attempt) {
        Object.assign(stage, {
          offer: {
            ...stage.offer, attempt: to, next: adopt.next, suspect: adopt.suspect ?? false,
          },
          held: true,
          early: undefined,
          reply,
        });
        fence(req, attempt);
        deps.count('adopted');
      }
      if (stage?.offer.attempt === to) tellAdopted(stage, reply);
      else {
        reply({
          t: 'refuse', req, attempt: to, code: 'absent', load: load(),
        });
      }
    },
    replay(replay) {
      const stage = find(replay);
      if (!stage) return;
      Object.assign(stage, { held: false });
      outputs.replay(stage, replay.from);
    },
    resume(resume, reply) {
      const stage = find(resume);
      if (!stage) {
        reply({
          t: 'fail', req: resume.req, attempt: resume.attempt, code: 'absent',
        });
      } else outputs.resume(stage, resume.seq);
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
        t: 'statusReply',
        req,
        attempt,
        state: fenced ? 'fenced' : live,
        ...(live === 'absent' ? {} : { pos: stage!.next, outputs: stage!.outputs }),
      });
    },
    output(out) {
      const stage = bySequence.get(out.seq);
      const { pos = 0, hidden = [] } = out;
      const end = stage?.ends.get(pos);
      if (!stage || (end === undefined && !out.error)) {
        deps.count('dropped');
        return;
      }
      stage.ends.delete(pos);
      stage.outputs = end ?? stage.outputs;
      if (out.error) fail(stage, out.error);
      else if (out.token !== undefined) {
        // An output before the end of the prompt is of one part of it.
        const sampled = stage.outputs >= stage.offer.promptTokens;
        if (sampled) outputs.emit(stage, out.token, out.stop ?? false);
      } else {
        keptOutputs.keep(stage, hidden);
        if (!stage.held) outputs.forward(stage, pos, hidden);
      }
    },
    engineLost() {
      const details = { suspects: suspects().length };
      [...stages.values()].forEach((stage) => fail(stage, 'target_lost', details));
    },
    hopLost(node) {
      [...stages.values()].filter(({ offer, ended }) => offer.next.node === node && !ended)
        .forEach((stage) => {
          // The stage keeps its KV cache; the entry joins it to another hop or cancels it.
          Object.assign(stage, { held: true });
          tellFailure(stage, 'hop_lost', { node });
        });
    },
    entryLost(entry) {
      [...stages.values()].filter(({ offer }) => offer.entry === entry)
        .forEach(({ offer }) => fence(offer.req, offer.attempt));
    },
    get active() {
      return stages.size;
    },
    get keptBytes() {
      return keptOutputs.bytes;
    },
    load,
  };
}
