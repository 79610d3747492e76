/** Limits on the silence of a stream, derived from the latency bounds of its route. */
import type { ServingRoute } from '@verbenashunt/core';

type Bounds = Pick<ServingRoute, 'objectiveMs' | 'maxPauseMs'>;

/** Silence between events that is investigated, as a share of the longest acceptable pause. */
const inspectPauseShare = 0.9;
/** Silence before the first event that is investigated, as a share of the latency objective. */
const inspectObjectiveShare = 0.5;
/** Silence after which a stream is resumed, as a multiple of the longest acceptable pause. */
const resumePauseFactor = 5;
/**
 * The same before the first event, as a multiple of the latency objective; callers wait for at
 * least four objectives.
 */
const resumeObjectiveFactor = 3;

/**
 * Silence in milliseconds after which the first target is asked for the cause; `isDelivered` once
 * the caller has received a part of the stream.
 */
export const inspectAfterMs = (
  { objectiveMs, maxPauseMs }: Bounds,
  isDelivered: boolean,
) => (isDelivered
  ? inspectPauseShare * maxPauseMs
  : inspectObjectiveShare * objectiveMs);

/** Silence in milliseconds after which a stream is resumed although no cause was reported. */
export const resumeAfterMs = (
  { objectiveMs, maxPauseMs }: Bounds,
  isDelivered: boolean,
) => (isDelivered
  ? resumePauseFactor * maxPauseMs
  : resumeObjectiveFactor * objectiveMs);
