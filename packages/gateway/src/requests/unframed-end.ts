/**
 * Judges the end of a stream that came without a length or chunked encoding. It ends when its
 * connection is closed, whether the target had sent all of it or not.
 */
import { incarnationOf, type ServingTarget } from '@verbenashunt/core';
import type { RequestMetrics } from '../metrics.js';
import type { Choice } from '../routing/selector.js';
import type { RequestLog } from './request-log.js';
import type { RequestSpec } from './spec.js';

export interface UnframedEndDeps extends Pick<RequestMetrics, 'unframedStreamEnded'> {
  log: RequestLog;
  /** Whether a target accepts a connection. */
  isReachable(target: ServingTarget): Promise<boolean>;
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

export async function judgeUnframedEnd(
  end: UnframedEnd,
  deps: UnframedEndDeps,
): Promise<UnframedVerdict> {
  const { target } = end.choice;
  const isReachable = await deps.isReachable(target);
  const verdict = isReachable ? 'complete' : 'broken';
  deps.unframedStreamEnded(verdict);
  deps.log.info({
    req: end.spec.caller.id,
    target: target.id,
    incarnation: incarnationOf(target),
    last: end.lastEventId,
    attempts: end.attempts,
    isReachable,
    verdict,
  }, 'unframed stream ended');
  return verdict;
}
