/** One stage of a request, and the memory that stages keep for a recovery. */
import type { CancelTimer } from '@verbenashunt/core';
import type { EngineOp, Message, Offer } from '@verbenashunt/schema';
import { createTail, type Tail } from './tail.js';

/** Tokens of an answer that a stage keeps. */
const maxTailTokens = 16_384;
/** Positions whose outputs a stage keeps. */
const maxKeptPositions = 131_072;
/** Bytes of outputs that all stages of an agent keep together. */
const maxKeptBytes = 64 * 1024 * 1024;

export type StageInput = Pick<EngineOp, 'tokens' | 'hidden'>;

export interface Stage {
  offer: Offer;
  /** Name of the engine's sequence; it outlives a change of the attempt. */
  seq: string;
  /** Next position to run. */
  next: number;
  /** Positions whose output the engine gave. */
  outputs: number;
  /** Position after each run that the engine has not answered, by its first position. */
  ends: Map<number, number>;
  /** Hidden states by position; all stages but the last. */
  kept: Tail<string>;
  /** Tokens sampled; last stage only. */
  sampled: Tail<number>;
  /** Tokens fed after the start; first stage only. */
  fed: number[];
  /** An input that came before the one it follows. */
  early?: { pos: number; input: StageInput } | undefined;
  /** Outputs are held back until a replay. */
  held: boolean;
  started: boolean;
  ended?: 'stop' | 'length';
  cancelDeadline: CancelTimer;
  /** Sends to the entry that made the offer. */
  reply: (message: Message) => void;
}

export const createStage = (
  offer: Offer,
  reply: Stage['reply'],
  cancelDeadline: CancelTimer,
): Stage => ({
  offer,
  seq: `${offer.req}:${offer.attempt}`,
  next: 0,
  outputs: 0,
  ends: new Map(),
  kept: createTail(maxKeptPositions),
  sampled: createTail(maxTailTokens),
  fed: [],
  held: false,
  started: false,
  cancelDeadline,
  reply,
});

export const isFirst = ({ offer }: Stage) => offer.index === 0;
export const isLast = ({ offer }: Stage) => offer.index === offer.stages - 1;

/** The part of an input that a stage has not run; undefined when it ran all of it. */
export function trimInput(input: StageInput, overlap: number): StageInput | undefined {
  const { tokens, hidden } = input;
  if (tokens) return tokens.length > overlap ? { tokens: tokens.slice(overlap) } : undefined;
  if (hidden) return hidden.length > overlap ? { hidden: hidden.slice(overlap) } : undefined;
  return undefined;
}

export interface KeptOutputs {
  /** Keeps outputs; over the limit the stage lets go of all that it kept. */
  keep(stage: Stage, hidden: readonly string[]): void;
  release(stage: Stage): void;
  readonly bytes: number;
}

/** Accounts for the bytes that the stages of an agent keep. */
export function createKeptOutputs(limitBytes = maxKeptBytes): KeptOutputs {
  const held = new Map<Stage, number>();
  let bytes = 0;

  function release(stage: Stage) {
    bytes -= held.get(stage) ?? 0;
    held.delete(stage);
    stage.kept.clear();
  }

  return {
    keep(stage, hidden) {
      const added = hidden.reduce((sum, text) => sum + text.length, 0);
      stage.kept.push(...hidden);
      held.set(stage, (held.get(stage) ?? 0) + added);
      bytes += added;
      if (bytes > limitBytes) release(stage);
    },
    release,
    get bytes() {
      return bytes;
    },
  };
}
