/**
 * Queue of partly delivered streams that wait to be resumed on a new chain. While targets accept
 * them, turns follow in quick succession. A refusal for lack of capacity applies to all waiting
 * streams, so it pauses the whole queue: retries stay few, and one stream at a time tests whether
 * there is capacity again.
 */
import type { Clock } from '@verbenashunt/core';

export interface ResumeQueue {
  /** Calls `resume` at the stream's turn; the returned function removes it from the queue. */
  wait(resume: () => void): () => void;
  /** Reports that a stream found no capacity at its turn; pauses the queue. */
  refused(): void;
}

/** Interval between turns in milliseconds; most refusals arrive within it. */
const turnIntervalMs = 2;
/** Pause after a refusal in milliseconds; shorter than the pauses that routes allow in streams. */
const refusedPauseMs = 150;

export function createResumeQueue(clock: Clock): ResumeQueue {
  const waiting = new Set<() => void>();
  let nextTurnAt = -Infinity;
  let isScheduled = false;

  function schedule() {
    if (isScheduled || waiting.size === 0) return;
    isScheduled = true;
    // eslint-disable-next-line @typescript-eslint/no-use-before-define -- each calls the other
    clock.after(Math.max(0, nextTurnAt - clock.now()), giveTurn);
  }

  function giveTurn() {
    isScheduled = false;
    const [resume] = waiting;
    if (resume && clock.now() >= nextTurnAt) {
      waiting.delete(resume);
      nextTurnAt = clock.now() + turnIntervalMs;
      resume();
    }
    schedule();
  }

  return {
    wait(resume) {
      // A separate function per call, as one stream may wait repeatedly with the same callback.
      const entry = () => resume();
      waiting.add(entry);
      schedule();
      return () => waiting.delete(entry);
    },
    refused() {
      nextTurnAt = clock.now() + refusedPauseMs;
    },
  };
}
