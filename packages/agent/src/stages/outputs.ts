/**
 * Sends the results of a stage: hidden states to the next stage of the chain; sampled tokens, which
 * only the last stage has, to the entry and back to the first stage.
 */
import type { Hop, Load, Message } from '@verbenashunt/schema';
import {
  isFirst, isLast, type Stage, type StageInput,
} from './stage.js';

/** Number of positions that a replay sends in one `step` message. */
const positionsPerFrame = 1024;

export interface StageOutputsDeps {
  load(): Load;
  sendToHop(hop: Hop, message: Message): void;
  runInput(stage: Stage, pos: number, input: StageInput): void;
  fail(stage: Stage, code: string): void;
  countEvent(event: 'completed'): void;
}

export interface StageOutputs {
  /**
   * Sends a newly sampled token to the entry and, unless it is the last of the answer, back to the
   * first stage. `stop` says that the model ended the answer.
   */
  emitToken(stage: Stage, token: number, stop: boolean): void;
  /** Sends hidden states to the next stage; `pos` is the position of the first one. */
  forwardOutputs(stage: Stage, pos: number, hidden: string[]): void;
  /** Sends hidden states to the next stage, or tokens to the first, again from a position on. */
  replay(stage: Stage, from: number): void;
  /** Sends tokens to the entry again from a sequence number on, then the end if it was reached. */
  resume(stage: Stage, seq: number): void;
}

export function createStageOutputs(deps: StageOutputsDeps): StageOutputs {
  function sendEnd(stage: Stage) {
    const { req, attempt } = stage.offer;
    const { endReason } = stage;
    if (!endReason) return;
    stage.reply({
      t: 'end', req, attempt, count: stage.sampled.end, reason: endReason, load: deps.load(),
    });
  }

  function sendToken(stage: Stage, token: number, seq: number) {
    const { req, attempt } = stage.offer;
    stage.reply({
      t: 'token', req, attempt, seq, token,
    });
  }

  /** Feeds a sampled token back to the first stage; its position follows the offered prompt. */
  function sendFeed(stage: Stage, token: number, seq: number) {
    const { req, attempt, next } = stage.offer;
    const pos = stage.offer.promptTokens + seq;
    if (isFirst(stage)) deps.runInput(stage, pos, { tokens: [token] });
    else {
      deps.sendToHop(next, {
        t: 'feed', req, attempt, pos, token,
      });
    }
  }

  function emitToken(stage: Stage, token: number, stop: boolean) {
    const seq = stage.sampled.end;
    stage.sampled.push(token);
    const isLastToken = stop || seq + 1 >= stage.offer.maxTokens;
    if (isLastToken) Object.assign(stage, { endReason: stop ? 'stop' : 'length' });
    sendToken(stage, token, seq);
    if (isLastToken) {
      sendEnd(stage);
      deps.countEvent('completed');
    } else if (!stage.outputsPaused) sendFeed(stage, token, seq);
  }

  function forwardOutputs(stage: Stage, pos: number, hidden: string[]) {
    const { req, attempt, next } = stage.offer;
    deps.sendToHop(next, {
      t: 'step', req, attempt, pos, hidden,
    });
  }

  function replayOutputs(stage: Stage, from: number) {
    if (from < stage.kept.start) {
      deps.fail(stage, 'not_kept');
      return;
    }
    const frameCount = Math.ceil((stage.outputs - from) / positionsPerFrame);
    Array.from({ length: Math.max(0, frameCount) }, (_, i) => from + i * positionsPerFrame)
      .forEach((pos) => forwardOutputs(stage, pos, stage.kept.slice(pos, pos + positionsPerFrame)));
  }

  function replayTokens(stage: Stage, from: number) {
    const first = Math.max(stage.sampled.start, from - stage.offer.promptTokens);
    if (stage.endReason) return;
    stage.sampled.slice(first).forEach((token, i) => sendFeed(stage, token, first + i));
  }

  return {
    emitToken,
    forwardOutputs,
    replay(stage, from) {
      if (isLast(stage)) replayTokens(stage, from);
      else replayOutputs(stage, from);
    },
    resume(stage, seq) {
      if (seq < stage.sampled.start) {
        deps.fail(stage, 'not_kept');
        return;
      }
      stage.sampled.slice(seq).forEach((token, i) => sendToken(stage, token, seq + i));
      sendEnd(stage);
    },
  };
}
