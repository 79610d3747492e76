/** Time limit of an attempt, so that another one is possible after it. */
import type { RequestSpec } from './spec.js';

/** Time limit of one attempt of an idempotent call, in latency objectives of its route. */
const attemptObjectives = 3;

/**
 * Time limit in milliseconds of the next attempt after `ran` ones that ran; undefined for one that
 * may take all of the time left.
 */
export function attemptTimeoutMs(
  { kind, maxAttempts, route }: Pick<RequestSpec, 'kind' | 'maxAttempts' | 'route'>,
  ran: number,
  timeLeftMs: number,
): number | undefined {
  if (kind !== 'idempotent' || ran + 1 >= maxAttempts) return undefined;
  const timeoutMs = attemptObjectives * route.objectiveMs;
  return timeoutMs <= 0 || timeLeftMs < 2 * timeoutMs ? undefined : timeoutMs;
}
