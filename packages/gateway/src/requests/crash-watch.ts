/**
 * Checks whether targets that dropped requests have crashed, and recognises requests that crash one
 * target after another, so that no entry runs them again.
 */
import { createHash } from 'node:crypto';
import type { Logger } from 'pino';
import {
  errorFields, incarnationOf, TargetError, type ServingTarget,
} from '@verbenashunt/core';
import { requestReport, type ReportDeps } from '../routing/report.js';
import type { CrashTable } from '../store/crash-table.js';
import type { RequestSpec } from './spec.js';

export interface CrashWatchDeps extends ReportDeps {
  log: Logger;
  crashTable: CrashTable;
}

/** What a target sees of a request, apart from the id of the attempt. */
export type RequestContent = Pick<RequestSpec, 'caller' | 'body' | 'organisation'>;

export interface CrashWatch {
  /** Records that a target may have crashed while it ran a request; checks whether it did. */
  lost(req: RequestContent, target: ServingTarget): void;
  /** Records that a target answered a request completely. */
  answered(req: RequestContent): void;
  /** Whether a request must not run because it crashes targets. */
  isPoison(req: RequestContent): boolean;
}

/** Time in milliseconds for a target to answer a report request before it counts as crashed. */
const reportTimeoutMs = 500;
/** Length of a fingerprint in base64url characters: 72 bits. */
const fingerprintLength = 12;

/** Hash that is equal for requests that a target can't tell apart. */
export function fingerprintOf({ caller, body, organisation }: RequestContent): string {
  return createHash('sha1')
    .update(`${organisation ?? ''}\n${caller.method} ${caller.target}\n`)
    .update(body ?? '')
    .digest('base64url')
    .slice(0, fingerprintLength);
}

export function createCrashWatch(deps: CrashWatchDeps): CrashWatch {
  const { log, crashTable } = deps;
  /** Fingerprints of the requests whose target is being asked for its report, by target. */
  const pendingByTarget = new Map<string, Set<string>>();

  async function checkCrashed(target: ServingTarget, fingerprints: ReadonlySet<string>) {
    try {
      await requestReport(deps, target, reportTimeoutMs);
    } catch (err) {
      // Any answer, even an invalid report, shows that the target is alive.
      if (!(err instanceof TargetError)) return;
      log.warn({
        target: target.id, requests: fingerprints.size, ...errorFields(err),
      }, 'target crashed with requests');
      crashTable.recordCrash({
        target: incarnationOf(target), fingerprints: [...fingerprints],
      });
    } finally {
      pendingByTarget.delete(target.id);
    }
  }

  return {
    lost(req, target) {
      const pending = pendingByTarget.get(target.id);
      const fingerprints = pending ?? new Set<string>();
      fingerprints.add(fingerprintOf(req));
      if (pending) return;
      pendingByTarget.set(target.id, fingerprints);
      checkCrashed(target, fingerprints);
    },
    answered(req) {
      if (crashTable.isEmpty) return;
      const fingerprint = fingerprintOf(req);
      const targets = crashTable.targetsOf(fingerprint);
      if (targets.length > 0) crashTable.recordAnswerAfterCrash({ fingerprint, targets });
    },
    isPoison: (req) => !crashTable.isEmpty && crashTable.isPoison(fingerprintOf(req)),
  };
}
