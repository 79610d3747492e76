/** How long a stream may be silent, by the times that are on time on its route. */
import type { ServingRoute } from '@verbenashunt/core';

type Bounds = Pick<ServingRoute, 'objectiveMs' | 'maxPauseMs'>;

/** Silence between events, as a share of the longest pause that is on time, that is looked into. */
const quietShare = 0.9;
/** Silence before the first event, as a share of the objective, that is looked into. */
const firstQuietShare = 0.5;
/** Longest pauses on time after which a stream that is silent without a reason is resumed. */
const mutePauses = 5;
/** The same before the first event, in objectives; callers wait four of them or longer. */
const muteObjectives = 3;

/** Silence in milliseconds that is looked into. */
export const quietLimitMs = ({ objectiveMs, maxPauseMs }: Bounds, hasBegun: boolean) => (hasBegun
  ? quietShare * maxPauseMs
  : firstQuietShare * objectiveMs);

/** Silence in milliseconds after which a stream is resumed though nothing tells a reason for it. */
export const muteLimitMs = ({ objectiveMs, maxPauseMs }: Bounds, hasBegun: boolean) => (hasBegun
  ? mutePauses * maxPauseMs
  : muteObjectives * objectiveMs);
