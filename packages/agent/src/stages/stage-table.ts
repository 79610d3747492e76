/**
 * Table of the stages that this agent runs. A stage is the part of a request that runs a range of
 * layers of a model; the stages of a request form a chain over several agents. The table admits
 * offers, runs each position once and in order, and sends outputs to the next stage and tokens to
 * the entry.
 */
import QuickLru from 'quick-lru';
import type { Clock } from '@verbenashunt/core';
import type {
  Adopt, EngineOp, EngineOut, Fail, Feed, Hop, Load, LoadedModel, Message, Offer, Replay, Resume,
  Start, Step,
} from '@verbenashunt/schema';
import { offerRefusalCode } from './admission.js';
import { createStageOutputs } from './outputs.js';
import {
  createKeptOutputs, createStage, isFirst, isLast, trimInput, type Stage, type StageInput,
} from './stage.js';

/** Number of requests whose newest fenced attempt is remembered. */
const maxFences = 100_000;

export interface StageTableDeps {
  clock: Clock;
  incarnation: number;
  maxActive: number;
  revision(): number;
  /** Whether the target takes new work. */
  admitting(): boolean;
  loaded(): readonly LoadedModel[];
  /** Sends an operation to the engine; ignored while the engine is down. */
  sendToEngine(op: EngineOp): void;
  /** Sends a message to the agent of another stage of the chain. */
  sendToHop(hop: Hop, message: Message): void;
  countEvent(event: StageEvent): void;
}

export type StageEvent = 'accepted' | 'refused' | 'completed' | 'failed' | 'dropped' | 'cancelled' | 'adopted' | 'expired';

/** Fields of a failure message besides its code. */
type FailureDetails = Pick<Fail, 'node' | 'suspects' | 'loss'>;

export interface StageTable {
  offer(offer: Offer, reply: Stage['reply']): void;
  start(start: Start): void;
  step(step: Step): void;
  feed(feed: Feed): void;
  /** Moves a stage to a later attempt and pauses its outputs until a replay. */
  adopt(adopt: Adopt, reply: Stage['reply']): void;
  /** Resumes paused outputs and sends them again from a position on. */
  replay(replay: Replay): void;
  /** Sends tokens to the entry again from a sequence number on. */
  resume(resume: Resume, reply: Stage['reply']): void;
  /** Stops attempts up to and including this one and refuses later offers of them. */
  cancel(req: string, attempt: number, reply: Stage['reply']): void;
  status(req: string, attempt: number, reply: Stage['reply']): void;
  onEngineOutput(out: EngineOut): void;
  /** Handles the loss of the engine with all its sequences: fails every stage. */
  onEngineLost(): void;
  /**
   * Handles a lost or resumed link to an agent: messages to it may be missing, so stages that send
   * to it pause their outputs.
   */
  onHopLost(node: string): void;
  /** Frees the stages of an entry that is lost. */
  onEntryLost(entry: string): void;
  readonly active: number;
  /** Bytes of outputs kept for replays. */
  readonly keptBytes: number;
  load(): Load;
}

export function createStageTable(deps: StageTableDeps): StageTable {
  const stages = new Map<string, Stage>();
  const stagesBySequence = new Map<string, Stage>();
  const newestFencedAttempts = new QuickLru<string, number>({ maxSize: maxFences });
  const keptOutputs = createKeptOutputs();
  let engineLosses = 0;

  const load = (): Load => ({ active: stages.size, queued: 0, limit: deps.maxActive });

  const suspectStages = () => [...stages.values()].filter(({ offer }) => offer.suspect);

  function refusalOf(offer: Offer): string | undefined {
    const code = offerRefusalCode(offer, {
      ...deps, active: stages.size, newestFencedAttempt: newestFencedAttempts.get(offer.req) ?? -1,
    });
    if (code || !offer.suspect) return code;
    // A suspect ran on a target that crashed. After a crash with two of them on one target, it
    // would be unknown which one caused it.
    return suspectStages().some((other) => other.offer.req !== offer.req) ? 'apart' : undefined;
  }

  function removeStage(stage: Stage) {
    if (stages.get(stage.offer.req) !== stage) return;
    stages.delete(stage.offer.req);
    stagesBySequence.delete(stage.sequenceId);
    stage.cancelDeadline();
    keptOutputs.release(stage);
    if (stage.started) deps.sendToEngine({ op: 'cancel', seq: stage.sequenceId });
  }

  /** Refuses this and earlier attempts of the request from now on and removes their stage. */
  function fence(req: string, attempt: number) {
    newestFencedAttempts.set(req, Math.max(newestFencedAttempts.get(req) ?? -1, attempt));
    const stage = stages.get(req);
    if (stage && stage.offer.attempt <= attempt) removeStage(stage);
  }

  function replyFailure(stage: Stage, code: string, details: FailureDetails = {}) {
    const { req, attempt } = stage.offer;
    const message: Fail = {
      t: 'fail', req, attempt, code, ...details,
    };
    stage.reply(message);
    deps.countEvent('failed');
  }

  function fail(stage: Stage, code: string, details?: FailureDetails) {
    replyFailure(stage, code, details);
    fence(stage.offer.req, stage.offer.attempt);
  }

  function findStage({ req, attempt }: { req: string; attempt: number }): Stage | undefined {
    const stage = stages.get(req);
    if (stage?.offer.attempt === attempt) return stage;
    deps.countEvent('dropped');
    return undefined;
  }

  /** Runs the part of an input that has not run yet, so that each position runs once. */
  function runInput(stage: Stage, pos: number, input: StageInput) {
    if (pos > stage.nextPosition) {
      // Inputs from two senders may arrive out of order, by one input at most.
      if (stage.earlyInput && stage.earlyInput.pos !== pos) fail(stage, 'gap');
      else Object.assign(stage, { earlyInput: { pos, input } });
      return;
    }
    const newInput = trimInput(input, stage.nextPosition - pos);
    if (!newInput) {
      deps.countEvent('dropped');
      return;
    }
    const startPosition = stage.nextPosition;
    const positionCount = newInput.tokens?.length ?? newInput.hidden?.length ?? 0;
    Object.assign(stage, { nextPosition: startPosition + positionCount, started: true });
    const {
      model, range, priority, promptTokens,
    } = stage.offer;
    stage.runEnds.set(startPosition, stage.nextPosition);
    stage.fed.push(...(newInput.tokens ?? []).slice(Math.max(0, promptTokens - startPosition)));
    deps.sendToEngine({
      op: 'run', seq: stage.sequenceId, model, lo: range.lo, hi: range.hi, pos: startPosition, priority, ...newInput,
    });
    const { earlyInput } = stage;
    Object.assign(stage, { earlyInput: undefined });
    if (earlyInput) runInput(stage, earlyInput.pos, earlyInput.input);
  }

  const outputs = createStageOutputs({
    ...deps, load, runInput, fail,
  });

  function replyAdopted(stage: Stage, reply: Stage['reply']) {
    const { req, attempt } = stage.offer;
    reply({
      t: 'adopted',
      req,
      attempt,
      pos: stage.nextPosition,
      outputs: stage.outputs,
      kept: isLast(stage) ? 0 : stage.kept.start,
      offered: stage.offer.promptTokens,
      fed: stage.fed,
    });
  }

  function expire(req: string, attempt: number) {
    deps.countEvent('expired');
    fence(req, attempt);
  }

  return {
    offer(offer, reply) {
      const { req, attempt } = offer;
      const existing = stages.get(req);
      const isKnown = existing?.offer.attempt === attempt && offer.incarnation === deps.incarnation;
      const code = isKnown ? undefined : refusalOf(offer);
      if (code) {
        deps.countEvent('refused');
        reply({
          t: 'refuse', req, attempt, code, revision: deps.revision(), load: load(),
        });
        return;
      }
      if (!isKnown) {
        if (existing) removeStage(existing);
        const stage = createStage(offer, reply, deps.clock.after(
          offer.timeLeftMs,
          () => expire(req, stage.offer.attempt),
        ));
        stages.set(req, stage);
        stagesBySequence.set(stage.sequenceId, stage);
        deps.countEvent('accepted');
      }
      reply({
        t: 'accept', req, attempt, load: load(),
      });
    },
    start(start) {
      const stage = findStage(start);
      if (stage && isFirst(stage)) runInput(stage, 0, { tokens: start.tokens });
    },
    step(step) {
      const stage = findStage(step);
      if (stage) runInput(stage, step.pos, { hidden: step.hidden });
    },
    feed(message) {
      const stage = findStage(message);
      if (stage) runInput(stage, message.pos, { tokens: [message.token] });
    },
    adopt(adopt, reply) {
      const { req, attempt, to } = adopt;
      const stage = stages.get(req);
      if (stage?.offer.attempt === attempt) {
        Object.assign(stage, {
          offer: {
            ...stage.offer, attempt: to, next: adopt.next, suspect: adopt.suspect ?? false,
          },
          outputsPaused: true,
          earlyInput: undefined,
          reply,
        });
        fence(req, attempt);
        deps.countEvent('adopted');
      }
      if (stage?.offer.attempt === to) replyAdopted(stage, reply);
      else {
        reply({
          t: 'refuse', req, attempt: to, code: 'absent', load: load(),
        });
      }
    },
    replay(replay) {
      const stage = findStage(replay);
      if (!stage) return;
      Object.assign(stage, { outputsPaused: false });
      outputs.replay(stage, replay.from);
    },
    resume(resume, reply) {
      const stage = findStage(resume);
      if (!stage) {
        reply({
          t: 'fail', req: resume.req, attempt: resume.attempt, code: 'absent',
        });
      } else outputs.resume(stage, resume.seq);
    },
    cancel(req, attempt, reply) {
      const ran = stages.get(req)?.started ?? false;
      fence(req, attempt);
      deps.countEvent('cancelled');
      reply({
        t: 'cancelled', req, attempt, ran,
      });
    },
    status(req, attempt, reply) {
      const stage = stages.get(req);
      const fenced = (newestFencedAttempts.get(req) ?? -1) >= attempt;
      const runState = stage?.started ? 'running' : 'accepted';
      const stageState = stage?.offer.attempt === attempt ? runState : 'absent';
      reply({
        t: 'statusReply',
        req,
        attempt,
        state: fenced ? 'fenced' : stageState,
        ...(stageState === 'absent' ? {} : { pos: stage!.nextPosition, outputs: stage!.outputs }),
      });
    },
    onEngineOutput(out) {
      const stage = stagesBySequence.get(out.seq);
      const { pos = 0, hidden = [] } = out;
      const end = stage?.runEnds.get(pos);
      if (!stage || (end === undefined && !out.error)) {
        deps.countEvent('dropped');
        return;
      }
      stage.runEnds.delete(pos);
      stage.outputs = end ?? stage.outputs;
      if (out.error) fail(stage, out.error);
      else if (out.token !== undefined) {
        // Tokens returned for earlier parts of the prompt do not belong to the answer.
        const isAnswerToken = stage.outputs >= stage.offer.promptTokens;
        if (isAnswerToken) outputs.emitToken(stage, out.token, out.stop ?? false);
      } else {
        keptOutputs.keep(stage, hidden);
        if (!stage.outputsPaused) outputs.forwardOutputs(stage, pos, hidden);
      }
    },
    onEngineLost() {
      engineLosses += 1;
      const details = {
        suspects: suspectStages().length, loss: `${deps.incarnation}.${engineLosses}`,
      };
      [...stages.values()].forEach((stage) => fail(stage, 'target_lost', details));
    },
    onHopLost(node) {
      [...stages.values()].filter(({ offer, endReason }) => offer.next.node === node && !endReason)
        .forEach((stage) => {
          // The stage keeps its KV cache; the entry gives it another next stage or cancels it.
          Object.assign(stage, { outputsPaused: true });
          replyFailure(stage, 'hop_lost', { node });
        });
    },
    onEntryLost(entry) {
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
