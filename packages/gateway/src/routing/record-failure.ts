/** Attributes the failure of an attempt to a target and records it in the target's health. */
import type { AttemptEnd, ServingService } from '@verbenashunt/core';
import type { Selector } from './selector.js';

export interface FailedAttempt {
  service: ServingService;
  /** Id of the target that the attempt was sent to. */
  sentTo: string;
  end: AttemptEnd;
  /** Address of the target at fault, if the answer names one. */
  blamed: string | undefined;
}

/**
 * Returns the id of the target at fault; undefined if it is unknown. An unsettled end is held
 * against nobody, but the stream goes on elsewhere.
 */
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
  if (end === 'unsettled') return targetId;
  if (end === 'unsent') selector.recordFailure(targetId);
  else if (end === 'not_run' || isBlamed) selector.recordRefusal(targetId, isBlamed);
  else selector.recordError(targetId);
  return targetId;
}
