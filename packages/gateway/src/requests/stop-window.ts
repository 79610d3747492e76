/** What an entry that stops still begins, so that it ends before the process does. */
import type { RequestSpec } from './spec.js';

export interface StopWindow {
  /** When the stop began, on the entry's clock. */
  startedAt: number;
  /** Time from then until the process is killed, in milliseconds. */
  graceMs: number;
}

/** Part of the grace time in milliseconds that is left for the process to end. */
export const stopMarginMs = 500;
/**
 * Share of the grace time in which any stream is begun. Callers on new connections still come until
 * the balancer has seen that this entry is not ready, and the answer of most is whole by the end.
 */
const earlyShare = 0.35;
/** Latest streams whose durations are kept. */
const keptDurations = 50;
/** Share of the kept durations that may be longer than the one that is reckoned with. */
const longerShare = 0.05;

/** How long streams take at present, by the latest that ran to their end. */
export function createStreamDurations() {
  const latest: number[] = [];
  return {
    add(ms: number) {
      latest.push(ms);
      if (latest.length > keptDurations) latest.shift();
    },
    /** A duration that few exceed, in milliseconds; undefined while none is known. */
    long(): number | undefined {
      const sorted = [...latest].sort((a, b) => b - a);
      return sorted[Math.floor(longerShare * sorted.length)];
    },
  };
}

/**
 * Whether a request can no longer be expected to end before the process does. A call counts with
 * its deadline; a stream that comes late, with what streams take.
 */
export function isTooLate(
  { kind, arrivedAt, expiresAt }: Pick<RequestSpec, 'kind' | 'arrivedAt' | 'expiresAt'>,
  { startedAt, graceMs }: StopWindow,
  longStreamMs = Infinity,
): boolean {
  const end = startedAt + graceMs - stopMarginMs;
  if (kind !== 'stream') return expiresAt > end;
  const isEarly = arrivedAt - startedAt <= earlyShare * graceMs;
  return !isEarly && arrivedAt + longStreamMs > end;
}
