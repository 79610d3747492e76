/**
 * Judges the end of a stream that came without a length or chunked encoding. It ends when its
 * connection is closed, whether the target had sent all of it or not.
 */
import { incarnationOf } from '@verbenashunt/core';
import type { RequestMetrics } from '../metrics.js';
import { isSameIncarnation, type IncarnationDeps } from '../routing/same-incarnation.js';
import type { Choice } from '../routing/selector.js';
import type { RequestLog } from './request-log.js';
import type { RequestSpec } from './spec.js';

export interface UnframedEndDeps
  extends IncarnationDeps, Pick<RequestMetrics, 'unframedStreamEnded'> {
  log: RequestLog;
}

export interface UnframedEnd {
  spec: RequestSpec;
  /** Targets that ran the stream. */
  choice: Choice;
  /** Id of the last event that the caller has received; undefined if there is none. */
  lastEventId: number | undefined;
  /** Number of attempts, this one included. */
  attempts: number;
}

export type UnframedVerdict = 'complete' | 'broken';

/**
 * A stream counts as broken off if any target of its chain has ended since, as a first target that
 * lives on ends the streams of a stage that was lost.
 */
export async function judgeUnframedEnd(
  end: UnframedEnd,
  deps: UnframedEndDeps,
): Promise<UnframedVerdict> {
  const { spec, choice } = end;
  const isEngine = spec.service.engine !== undefined;
  const checks = await Promise.all(choice.parts
    .map((target) => isSameIncarnation(target, isEngine, deps)));
  const lost = choice.parts.filter((_, i) => !checks[i]).map(({ id }) => id);
  const verdict = lost.length === 0 ? 'complete' : 'broken';
  deps.unframedStreamEnded(verdict);
  deps.log.info({
    req: spec.caller.id,
    target: choice.target.id,
    incarnation: incarnationOf(choice.target),
    last: end.lastEventId,
    attempts: end.attempts,
    lost,
    verdict,
  }, 'unframed stream ended');
  return verdict;
}
