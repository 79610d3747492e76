/** Times of one stream's events, as its caller sees them. */
import type { Clock } from '@verbenashunt/core';

export interface StreamTiming {
  /** An event goes to the caller; returns the time to it if it is the first. */
  event(): number | undefined;
  /** Milliseconds to the first event, of the longest pause after it, and in all. */
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
