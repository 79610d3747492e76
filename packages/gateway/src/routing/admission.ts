/**
 * Admission control for new streams, based on the progress of the streams that already run. One
 * more stream at an overloaded target would make all other streams there late too.
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

/** Minimum delay in milliseconds that a refused caller is told to wait before it retries. */
const minRetryAfterMs = 1000;
/** Range of the random delay in milliseconds that is added, so that callers don't retry at once. */
const retryAfterSpreadMs = 2000;

/**
 * Delay in milliseconds before a refused caller retries, at least `closedMs`, for which no target
 * accepts requests. `share` is a random number in [0, 1).
 */
export const jitteredRetryAfterMs = (share: number, closedMs = 0) => Math
  .round(Math.max(minRetryAfterMs, closedMs) + retryAfterSpreadMs * share);

/**
 * Returns `first` if its first target serves streams on time or the service has no engine; else
 * another choice whose targets all lie in one zone. Undefined when none is on time.
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
  return other && selector.isInSingleZone(other)
    ? chooseOnTime(spec, other, { clock, selector, progress }, without)
    : undefined;
}
