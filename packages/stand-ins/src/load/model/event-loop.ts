/** A deterministic event loop in virtual time, for measurements of decisions. */
import TinyQueue from 'tinyqueue';
import type { CancelTimer, Clock } from '@verbenashunt/core';

interface Event {
  at: number;
  order: number;
  run: (() => void) | undefined;
}

export interface EventLoop extends Clock {
  /** Runs events in order of time until none is left or `end` is reached. */
  runUntil(end: number): void;
}

const byTime = (a: Event, b: Event) => a.at - b.at || a.order - b.order;

export function createEventLoop(): EventLoop {
  const events = new TinyQueue<Event>([], byTime);
  let now = 0;
  let order = 0;
  return {
    now: () => now,
    wall: () => now,
    after(ms, run): CancelTimer {
      const event: Event = { at: now + ms, order, run };
      order += 1;
      events.push(event);
      return () => {
        event.run = undefined;
      };
    },
    runUntil(end) {
      for (let event = events.peek(); event && event.at <= end; event = events.peek()) {
        events.pop();
        now = event.at;
        event.run?.();
      }
      now = end;
    },
  };
}
