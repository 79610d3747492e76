/** What a stage sends on: outputs to the next stage, tokens to the entry and to the first stage. */
import type { Hop, Load, Message } from '@verbenashunt/schema';
import {
  isFirst, isLast, type Stage, type StageInput,
} from './stage.js';

/** Positions in one step frame of a replay. */
const replayPositions = 1024;

export interface OutputDeps {
  load(): Load;
  forward(hop: Hop, message: Message): void;
  run(stage: Stage, pos: number, input: StageInput): void;
  fail(stage: Stage, code: string): void;
  count(event: 'completed'): void;
}

export interface StageOutputs {
  emit(stage: Stage, token: number, stop: boolean): void;
  forward(stage: Stage, pos: number, hidden: string[]): void;
  /** Sends outputs or tokens to the next stage again, from a position on. */
  replay(stage: Stage, from: number): void;
  /** Sends tokens to the entry again, from a sequence number on. */
  resume(stage: Stage, seq: number): void;
}

export function createStageOutputs(deps: OutputDeps): StageOutputs {
  function sendEnd(stage: Stage) {
    const { req, attempt } = stage.offer;
    const { ended } = stage;
    if (!ended) return;
    stage.reply({
      t: 'end', req, attempt, count: stage.sampled.end, reason: ended, load: deps.load(),
    });
  }

  function sendToken(stage: Stage, token: number, seq: number) {
    const { req, attempt } = stage.offer;
    stage.reply({
      t: 'token', req, attempt, seq, token,
    });
  }

  /** Passes a sampled token to the first stage; it follows the positions that it was offered. */
  function sendFeed(stage: Stage, token: number, seq: number) {
    const { req, attempt, next } = stage.offer;
    const pos = stage.offer.promptTokens + seq;
    if (isFirst(stage)) deps.run(stage, pos, { tokens: [token] });
    else {
      deps.forward(next, {
        t: 'feed', req, attempt, pos, token,
      });
    }
  }

  /** Passes a sampled token to the entry and, when the answer goes on, to the first stage. */
  function emit(stage: Stage, token: number, stop: boolean) {
    const seq = stage.sampled.end;
    stage.sampled.push(token);
    const whole = stop || seq + 1 >= stage.offer.maxTokens;
    if (whole) Object.assign(stage, { ended: stop ? 'stop' : 'length' });
    sendToken(stage, token, seq);
    if (whole) {
      sendEnd(stage);
      deps.count('completed');
    } else if (!stage.held) sendFeed(stage, token, seq);
  }

  function forward(stage: Stage, pos: number, hidden: string[]) {
    const { req, attempt, next } = stage.offer;
    deps.forward(next, {
      t: 'step', req, attempt, pos, hidden,
    });
  }

  function replayOutputs(stage: Stage, from: number) {
    if (from < stage.kept.from) {
      deps.fail(stage, 'not_kept');
      return;
    }
    const chunks = Math.ceil((stage.outputs - from) / replayPositions);
    Array.from({ length: Math.max(0, chunks) }, (_, i) => from + i * replayPositions)
      .forEach((pos) => forward(stage, pos, stage.kept.slice(pos, pos + replayPositions)));
  }

  function replayTokens(stage: Stage, from: number) {
    const first = Math.max(stage.sampled.from, from - stage.offer.promptTokens);
    if (stage.ended) return;
    stage.sampled.slice(first).forEach((token, i) => sendFeed(stage, token, first + i));
  }

  return {
    emit,
    forward,
    replay(stage, from) {
      if (isLast(stage)) replayTokens(stage, from);
      else replayOutputs(stage, from);
    },
    resume(stage, seq) {
      if (seq < stage.sampled.from) {
        deps.fail(stage, 'not_kept');
        return;
      }
      stage.sampled.slice(seq).forEach((token, i) => sendToken(stage, token, seq + i));
      sendEnd(stage);
    },
  };
}
