/** Checks whether a target is still the process that a request was sent to. */
import {
  incarnationOf, ProtocolError, type ServingTarget, type TargetTable,
} from '@verbenashunt/core';
import { requestReport, type ReportDeps } from './report.js';

export interface IncarnationDeps extends ReportDeps {
  targets: Pick<TargetTable, 'byId'>;
  /** Whether a target accepts a connection. */
  isReachable(target: ServingTarget): Promise<boolean>;
}

/** Time in milliseconds in which the report is awaited. */
const reportTimeoutMs = 500;

/** Whether the list of targets names this process, and its address accepts a connection. */
async function isListedAndReachable(
  target: ServingTarget,
  { targets, isReachable }: IncarnationDeps,
): Promise<boolean> {
  const listed = targets.byId(target.id);
  return listed !== undefined && listed.address === target.address
    && incarnationOf(listed) === incarnationOf(target) && isReachable(target);
}

/** On a connection of its own, as a kept one may hold a copy of an earlier report. */
async function reportsSameStart(target: ServingTarget, deps: IncarnationDeps): Promise<boolean> {
  try {
    const { startedAt } = await requestReport(deps, target, reportTimeoutMs, {
      dedicatedConnection: true,
    });
    return startedAt === undefined || startedAt === (target.startedAt ?? startedAt);
  } catch (err) {
    // An answer that is no report, such as one of another target at the address.
    if (err instanceof ProtocolError) return false;
    return isListedAndReachable(target, deps);
  }
}

/**
 * Resolves to false if `target` has ended or restarted, or another target uses its address. An
 * engine is asked for its report; one that gives none, and any other target, counts as the same
 * while it is listed and accepts a connection.
 */
export const isSameIncarnation = (
  target: ServingTarget,
  isEngine: boolean,
  deps: IncarnationDeps,
): Promise<boolean> => (isEngine
  ? reportsSameStart(target, deps)
  : isListedAndReachable(target, deps));
