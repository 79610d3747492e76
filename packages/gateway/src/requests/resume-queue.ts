/**
 * Turns of begun streams that look for a chain again. While targets take them they follow each
 * other closely. A refusal for want of room tells of all that wait, so after one they all pause:
 * repeats are few, and one question at a time finds out when there is room again.
 */
import type { Clock } from '@verbenashunt/core';

export interface ResumeQueue {
  /** Calls `resume` when it is the stream's turn; the returned function leaves the queue. */
  wait(resume: () => void): () => void;
  /** A stream that had its turn found no room. */
  refused(): void;
}

/** Time between two turns in milliseconds; most refusals arrive within it. */
const spacingMs = 2;
/** Pause after a refusal in milliseconds, shorter than the pauses that routes allow in a stream. */
const refusedPauseMs = 150;

export function createResumeQueue(clock: Clock): ResumeQueue {
  const waiting = new Set<() => void>();
  let nextAt = -Infinity;
  let isArmed = false;

  function arm() {
    if (isArmed || waiting.size === 0) return;
    isArmed = true;
    // eslint-disable-next-line @typescript-eslint/no-use-before-define -- each leads to the other
    clock.after(Math.max(0, nextAt - clock.now()), turn);
  }

  function turn() {
    isArmed = false;
    const [resume] = waiting;
    if (resume && clock.now() >= nextAt) {
      waiting.delete(resume);
      nextAt = clock.now() + spacingMs;
      resume();
    }
    arm();
  }

  return {
    wait(resume) {
      // A function of its own for each wait, as one stream may wait again and again.
      const entry = () => resume();
      waiting.add(entry);
      arm();
      return () => waiting.delete(entry);
    },
    refused() {
      nextAt = clock.now() + refusedPauseMs;
    },
  };
}
