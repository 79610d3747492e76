/** A deterministic event loop in virtual time. */
import TinyQueue from 'tinyqueue';
import type { CancelTimer, Clock } from '@verbenashunt/core';

interface ScheduledEvent {
  atMs: number;
  /** Order of scheduling, which decides between events of the same time. */
  sequence: number;
  /** Undefined once cancelled. */
  run: (() => void) | undefined;
}

export interface EventLoop extends Clock {
  /** Runs all events up to and including `endMs`, and sets the clock to it. */
  runUntil(endMs: number): void;
}

const byTime = (a: ScheduledEvent, b: ScheduledEvent) => a.atMs - b.atMs || a.sequence - b.sequence;

export function createEventLoop(): EventLoop {
  const events = new TinyQueue<ScheduledEvent>([], byTime);
  let now = 0;
  let nextSequence = 0;
  return {
    now: () => now,
    wall: () => now,
    after(ms, run): CancelTimer {
      const event: ScheduledEvent = { atMs: now + ms, sequence: nextSequence, run };
      nextSequence += 1;
      events.push(event);
      return () => {
        event.run = undefined;
      };
    },
    runUntil(endMs) {
      for (let event = events.peek(); event && event.atMs <= endMs; event = events.peek()) {
        events.pop();
        now = event.atMs;
        event.run?.();
      }
      now = endMs;
    },
  };
}
