/** State of one stage of a request, and the limits on outputs kept for replays. */
import type { CancelTimer } from '@verbenashunt/core';
import type { EngineOp, Message, Offer } from '@verbenashunt/schema';
import { createSlidingWindow, type SlidingWindow } from './sliding-window.js';

/** Number of sampled tokens that a stage keeps. */
const maxSampledTokens = 16_384;
/** Number of positions whose outputs a stage keeps. */
const maxKeptPositions = 131_072;
/** Total bytes of outputs that all stages of an agent keep. */
const maxKeptBytes = 64 * 1024 * 1024;

export type StageInput = Pick<EngineOp, 'tokens' | 'hidden'>;

export interface Stage {
  offer: Offer;
  /** Id of the engine's sequence; it stays the same when the attempt changes. */
  sequenceId: string;
  /** Next position to run. */
  nextPosition: number;
  /** Number of positions, from the first on, whose output the engine has returned. */
  outputs: number;
  /** End (exclusive) of each run that the engine has not answered, keyed by its first position. */
  runEnds: Map<number, number>;
  /** Hidden states by position, kept for replays; empty on the last stage. */
  kept: SlidingWindow<string>;
  /** Sampled tokens by sequence number; last stage only. */
  sampled: SlidingWindow<number>;
  /** Tokens fed back after the prompt; first stage only. */
  fed: number[];
  /** An input that arrived before the one that precedes it. */
  earlyInput?: { pos: number; input: StageInput } | undefined;
  /** Whether outputs are kept but not sent until a replay. */
  outputsPaused: boolean;
  /** Whether an input was sent to the engine. */
  started: boolean;
  endReason?: 'stop' | 'length';
  cancelDeadline: CancelTimer;
  /** Sends to the entry that made the last offer or adoption. */
  reply: (message: Message) => void;
}

export const createStage = (
  offer: Offer,
  reply: Stage['reply'],
  cancelDeadline: CancelTimer,
): Stage => ({
  offer,
  sequenceId: `${offer.req}:${offer.attempt}`,
  nextPosition: 0,
  outputs: 0,
  runEnds: new Map(),
  kept: createSlidingWindow(maxKeptPositions),
  sampled: createSlidingWindow(maxSampledTokens),
  fed: [],
  outputsPaused: false,
  started: false,
  cancelDeadline,
  reply,
});

export const isFirst = ({ offer }: Stage) => offer.index === 0;
export const isLast = ({ offer }: Stage) => offer.index === offer.stages - 1;

/** Drops the first `overlap` positions of an input; undefined if none are left. */
export function trimInput(input: StageInput, overlap: number): StageInput | undefined {
  const { tokens, hidden } = input;
  if (tokens) return tokens.length > overlap ? { tokens: tokens.slice(overlap) } : undefined;
  if (hidden) return hidden.length > overlap ? { hidden: hidden.slice(overlap) } : undefined;
  return undefined;
}

export interface KeptOutputs {
  /** Keeps outputs; if the total exceeds the limit, the stage drops all that it kept. */
  keep(stage: Stage, hidden: readonly string[]): void;
  release(stage: Stage): void;
  readonly bytes: number;
}

/** Limits the total size of the outputs that the stages of an agent keep. */
export function createKeptOutputs(limitBytes = maxKeptBytes): KeptOutputs {
  const bytesByStage = new Map<Stage, number>();
  let bytes = 0;

  function release(stage: Stage) {
    bytes -= bytesByStage.get(stage) ?? 0;
    bytesByStage.delete(stage);
    stage.kept.clear();
  }

  return {
    keep(stage, hidden) {
      const added = hidden.reduce((sum, text) => sum + text.length, 0);
      stage.kept.push(...hidden);
      bytesByStage.set(stage, (bytesByStage.get(stage) ?? 0) + added);
      bytes += added;
      if (bytes > limitBytes) release(stage);
    },
    release,
    get bytes() {
      return bytes;
    },
  };
}
