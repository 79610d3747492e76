/** Measures the times of one stream's events as its caller sees them. */
import type { Clock } from '@verbenashunt/core';

export interface StreamTiming {
  /** Records an event sent to the caller; returns the time since arrival if it is the first. */
  event(): number | undefined;
  /** Time to the first event, longest pause after it and total time, in whole milliseconds. */
  summary(): { firstMs: number; maxPauseMs: number; totalMs: number };
}

export function createStreamTiming(clock: Clock, arrivedAt: number): StreamTiming {
  let firstMs: number | undefined;
  let lastAt = arrivedAt;
  let maxPauseMs = 0;

  return {
    event() {
      const now = clock.now();
      const pauseMs = now - lastAt;
      lastAt = now;
      if (firstMs === undefined) {
        firstMs = pauseMs;
        return firstMs;
      }
      maxPauseMs = Math.max(maxPauseMs, pauseMs);
      return undefined;
    },
    summary: () => ({
      firstMs: Math.round(firstMs ?? 0),
      maxPauseMs: Math.round(maxPauseMs),
      totalMs: Math.round(clock.now() - arrivedAt),
    }),
  };
}
