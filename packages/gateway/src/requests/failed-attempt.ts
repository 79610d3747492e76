/** Counts, logs and attributes a failed attempt. */
import type { RequestMetrics } from '../metrics.js';
import { recordFailedAttempt } from '../routing/record-failure.js';
import type { Choice, Selector } from '../routing/selector.js';
import type { AttemptFailure } from './attempt.js';
import type { RequestLog } from './request-log.js';
import type { RequestSpec } from './spec.js';

export interface FailedAttempt {
  spec: RequestSpec;
  choice: Choice;
  failure: AttemptFailure;
  /** Id of the last event that the caller has received; undefined if there is none. */
  lastEventId: number | undefined;
}

export interface FailedAttemptDeps extends Pick<RequestMetrics, 'attemptFailed'> {
  log: RequestLog;
  selector: Selector;
}

/** Returns the id of the target at fault; undefined if none is known. */
export function recordAttemptFailure(
  {
    spec, choice: { target }, failure, lastEventId,
  }: FailedAttempt,
  deps: FailedAttemptDeps,
): string | undefined {
  const { end, reason, blamed } = failure;
  deps.attemptFailed(end);
  deps.log.info({
    req: spec.caller.id,
    version: spec.version,
    target: target.id,
    blamed,
    end,
    reason,
    last: lastEventId,
  }, 'attempt failed');
  return recordFailedAttempt(deps.selector, {
    service: spec.service, sentTo: target.id, end, blamed,
  });
}
