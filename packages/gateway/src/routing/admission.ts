/**
 * Decides where a new stream may go, by what running ones tell of their targets. One more stream at
 * a loaded target makes all others there late too.
 */
import type { Clock } from '@verbenashunt/core';
import type { TargetProgress } from '../requests/progress.js';
import type { RequestSpec } from '../requests/spec.js';
import type { Choice, Selector } from './selector.js';

export interface AdmissionDeps {
  clock: Clock;
  selector: Selector;
  progress: TargetProgress;
}

/** Least wait that a caller is told when targets are busy, in milliseconds. */
const minRetryAfterMs = 1000;
/** Time over which the return of refused callers is spread, in milliseconds. */
const retryAfterSpreadMs = 2000;

/** When a refused caller is to come back, in milliseconds; `share` in [0, 1) spreads them. */
export const jitteredRetryAfterMs = (share: number) => Math
  .round(minRetryAfterMs + retryAfterSpreadMs * share);

/**
 * The first choice if streams are on time there, else another one inside one zone; undefined when
 * all would be late.
 */
export function chooseOnTime(
  spec: RequestSpec,
  first: Choice,
  { clock, selector, progress }: AdmissionDeps,
  rejected: ReadonlySet<string> = new Set(),
): Choice | undefined {
  const isOnTime = progress.isOnTime(first.target.id, clock.now(), spec.route);
  if (!spec.service.engine || isOnTime) return first;
  const without = new Set([...rejected, first.target.id]);
  const other = selector.choose(spec, without);
  return other && selector.isInZone(other)
    ? chooseOnTime(spec, other, { clock, selector, progress }, without)
    : undefined;
}
