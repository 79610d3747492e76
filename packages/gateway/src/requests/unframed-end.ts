/**
 * Judges the end of a stream that came without a length or chunked encoding. It ends when its
 * connection is closed, whether the target had sent all of it or not.
 */
import { incarnationOf, meaningOfUnframedEnd, type UnframedEnd } from '@verbenashunt/core';
import type { RequestMetrics } from '../metrics.js';
import { isSameIncarnation, type IncarnationDeps } from '../routing/same-incarnation.js';
import type { Choice } from '../routing/selector.js';
import type { RequestLog } from './request-log.js';
import type { RequestSpec } from './spec.js';

export interface UnframedEndDeps
  extends IncarnationDeps, Pick<RequestMetrics, 'unframedStreamEnded'> {
  log: RequestLog;
}

/** A stream whose connection was closed in order after a whole event, or without any. */
export interface EndedStream extends UnframedEnd {
  spec: RequestSpec;
  /** Targets that ran it. */
  choice: Choice;
  /** Number of attempts, this one included. */
  attempts: number;
}

export type UnframedVerdict = 'complete' | 'unsettled' | 'broken';

/**
 * A stream counts as broken off if any target of its chain has ended since, as a first target that
 * lives on ends the streams of a stage that was lost. One that another run settles needs the check
 * of its first target only, which shows a crash.
 */
export async function judgeUnframedEnd(
  end: EndedStream,
  deps: UnframedEndDeps,
): Promise<UnframedVerdict> {
  const { spec, choice } = end;
  const meaning = meaningOfUnframedEnd(end);
  const isEngine = spec.service.engine !== undefined;
  const checked = meaning === 'whole_if_unharmed' ? choice.parts : [choice.target];
  const checks = await Promise.all(checked
    .map((target) => isSameIncarnation(target, isEngine, deps)));
  const lost = checked.filter((_, i) => !checks[i]).map(({ id }) => id);
  const verdictIfUnharmed = meaning === 'whole_if_unharmed' ? 'complete' : meaning;
  const verdict = lost.length === 0 ? verdictIfUnharmed : 'broken';
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
