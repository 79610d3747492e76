/**
 * Queue of partly delivered streams that wait to be resumed on a new chain. Streams take turns by
 * priority, then by the time at which their pause becomes too long; those for which it already is
 * come last. While targets accept them, turns follow in quick succession. A refusal for lack of
 * capacity applies to all waiting streams, so it pauses the whole queue: retries stay few, and one
 * stream at a time tests whether there is capacity again.
 */
import { defaultPriority, type Clock, type Priority } from '@verbenashunt/core';

/** What determines a stream's turn. */
export interface ResumeTurn {
  priority: Priority;
  /** Time on the entry's clock from which the pause in the stream is too long. */
  pauseLimitAt: number;
}

export interface ResumeQueue {
  /** Whether streams wait and the queue is not paused. */
  readonly isActive: boolean;
  /** Calls `resume` at the stream's turn; the returned function removes it from the queue. */
  wait(resume: () => void, turn?: ResumeTurn): () => void;
  /** Reports that a stream found no capacity at its turn; pauses the queue. */
  refused(): void;
}

/** Interval between turns in milliseconds; most refusals arrive within it. */
const turnIntervalMs = 2;
/** Pause after a refusal in milliseconds; shorter than the pauses that routes allow in streams. */
const refusedPauseMs = 150;

interface WaitingStream extends ResumeTurn {
  resume(): void;
}

const defaultTurn: ResumeTurn = { priority: defaultPriority, pauseLimitAt: Infinity };

/** `onEmpty` is called after the turn of the last waiting stream. */
export function createResumeQueue(clock: Clock, onEmpty: () => void = () => {}): ResumeQueue {
  /** In order of arrival. */
  const waiting = new Set<WaitingStream>();
  let nextTurnAt = -Infinity;
  let pausedUntil = -Infinity;
  let isScheduled = false;

  function schedule() {
    if (isScheduled || waiting.size === 0) return;
    isScheduled = true;
    // eslint-disable-next-line @typescript-eslint/no-use-before-define -- each calls the other
    clock.after(Math.max(0, nextTurnAt - clock.now()), giveTurn);
  }

  /** Pause limit as an order of turns: once it has passed, only the order of arrival counts. */
  const remainingLimit = ({ pauseLimitAt }: ResumeTurn) => (pauseLimitAt > clock.now()
    ? pauseLimitAt
    : Infinity);

  /** Whether a stream takes its turn before another one that arrived earlier. */
  function isBefore(stream: WaitingStream, earlier: WaitingStream): boolean {
    if (stream.priority !== earlier.priority) return stream.priority > earlier.priority;
    return remainingLimit(stream) < remainingLimit(earlier);
  }

  const nextStream = () => [...waiting].reduce<WaitingStream | undefined>((first, stream) => (
    first === undefined || isBefore(stream, first) ? stream : first), undefined);

  function giveTurn() {
    isScheduled = false;
    const next = nextStream();
    if (next && clock.now() >= nextTurnAt) {
      waiting.delete(next);
      nextTurnAt = clock.now() + turnIntervalMs;
      next.resume();
      if (waiting.size === 0) onEmpty();
    }
    schedule();
  }

  return {
    get isActive() {
      return waiting.size > 0 && clock.now() >= pausedUntil;
    },
    wait(resume, turn = defaultTurn) {
      // A separate object per call, as one stream may wait repeatedly with the same callback.
      const stream = { ...turn, resume };
      waiting.add(stream);
      schedule();
      return () => waiting.delete(stream);
    },
    refused() {
      pausedUntil = clock.now() + refusedPauseMs;
      nextTurnAt = pausedUntil;
    },
  };
}
