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
 * Share of the grace time in which a stream is begun. Callers on new connections still come until
 * the balancer has seen that this entry is not ready. How long a stream will take is not known:
 * the longest that callers allow take most of the grace time.
 */
const streamShare = 0.35;

/** Whether a request can no longer be expected to end before the process does. */
export function isTooLate(
  { kind, arrivedAt, expiresAt }: Pick<RequestSpec, 'kind' | 'arrivedAt' | 'expiresAt'>,
  { startedAt, graceMs }: StopWindow,
): boolean {
  if (kind === 'stream') return arrivedAt - startedAt > streamShare * graceMs;
  return expiresAt > startedAt + graceMs - stopMarginMs;
}

/** Wait of a refused caller while another entry serves, in milliseconds. */
const elsewhereRetryMs = 100;
/** Time over which callers come back once an entry serves again, in milliseconds. */
const returnSpreadMs = 1000;

/**
 * When a caller that is refused by a stopping entry is to come back, in milliseconds. `nextEntryMs`
 * is the time until another entry serves; where none is known, this one is back after the grace
 * time. `share` in [0, 1) spreads callers.
 */
export function stoppingRetryMs(nextEntryMs: number, graceMs: number, share: number): number {
  if (nextEntryMs <= 0) return elsewhereRetryMs;
  return Math.round(Math.min(nextEntryMs, graceMs) + returnSpreadMs * share);
}
