/** Which target the failure of an attempt is put down to, and what that says of it. */
import type { AttemptEnd, ServingService } from '@verbenashunt/core';
import type { Selector } from './selector.js';

export interface FailedAttempt {
  service: ServingService;
  /** Id of the target that the attempt was sent to. */
  sentTo: string;
  end: AttemptEnd;
  /** Address of the target at fault, where the answer names one. */
  blamed: string | undefined;
}

/** Marks the target at fault; returns its id, or undefined where its address is not known. */
export function recordFailedAttempt(
  selector: Selector,
  attempt: FailedAttempt,
): string | undefined {
  const { end, blamed } = attempt;
  const targetId = blamed === undefined
    ? attempt.sentTo
    : selector.targetAt(attempt.service, blamed)?.id;
  if (targetId === undefined) return undefined;
  const isBlamed = blamed !== undefined;
  if (end === 'unsent') selector.recordFailure(targetId);
  else if (end === 'not_run' || isBlamed) selector.recordRefusal(targetId, isBlamed);
  else selector.recordError(targetId);
  return targetId;
}
