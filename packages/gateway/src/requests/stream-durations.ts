/** Durations of completed streams by route, from which the duration of the next one is expected. */
import QuickLRU from 'quick-lru';

export interface StreamDurations {
  /** Records the milliseconds from the arrival of a stream's request to its end. */
  record(route: string, ms: number): void;
  /** Milliseconds within which three of four streams of the route end; 0 when unknown. */
  expectedMs(route: string): number;
}

/** Routes tracked at once; the least recently used ones are evicted. */
const maxRoutes = 1024;
/** Latest streams of a route that are taken into account. */
const maxSamples = 32;
const minSamples = 4;
const quantile = 0.75;

export function createStreamDurations(): StreamDurations {
  const samples = new QuickLRU<string, number[]>({ maxSize: maxRoutes });

  return {
    record(route, ms) {
      samples.set(route, [...(samples.get(route) ?? []), ms].slice(-maxSamples));
    },
    expectedMs(route) {
      const known = samples.get(route) ?? [];
      if (known.length < minSamples) return 0;
      return [...known].sort((a, b) => a - b)[Math.floor(quantile * (known.length - 1))]!;
    },
  };
}
