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
  /** Counts a crash that this entry has seen. */
  crashSeen(by: 'self'): void;
}

/** What a target sees of a request, apart from the id of the attempt. */
export type RequestContent = Pick<RequestSpec, 'caller' | 'body' | 'organisation'>;

/** A request that a target dropped. */
interface LostRequest {
  id: string;
  fingerprint: string;
  promptParts: readonly string[];
  /** Whether the target had sent a part of the answer. */
  hasBegun: boolean;
}

export interface CrashWatch {
  /**
   * Records that a target may have crashed while it ran a request; checks whether it did.
   * `hasBegun` says whether the target had sent a part of the answer.
   */
  lost(req: RequestContent, target: ServingTarget, hasBegun: boolean): void;
  /** Records that a target answered a request completely. */
  answered(req: RequestContent): void;
  /** Whether a request must not run because it crashes targets. */
  isPoison(req: RequestContent): boolean;
}

/** Time in milliseconds for a target to answer a report request before it counts as crashed. */
const reportTimeoutMs = 500;
/** Requests without a begun answer that the log names per crash; the others are counted. */
const maxLoggedRequests = 8;
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
  /** Requests whose target is being asked for its report, by target. */
  const pendingByTarget = new Map<string, LostRequest[]>();

  function logCrash(target: ServingTarget, lost: readonly LostRequest[], err: unknown) {
    const unbegun = lost.filter(({ hasBegun }) => !hasBegun);
    log.warn({
      target: target.id,
      requests: lost.length,
      begun: lost.length - unbegun.length,
      unbegun: unbegun.slice(0, maxLoggedRequests)
        .map(({ id, promptParts }) => ({ req: id, parts: promptParts })),
      ...errorFields(err),
    }, 'target crashed with requests');
  }

  async function checkCrashed(target: ServingTarget, lost: readonly LostRequest[]) {
    try {
      await requestReport(deps, target, reportTimeoutMs);
    } catch (err) {
      // Any answer, even an invalid report, shows that the target is alive.
      if (!(err instanceof TargetError)) return;
      logCrash(target, lost, err);
      deps.crashSeen('self');
      crashTable.recordCrash({
        target: incarnationOf(target),
        fingerprints: [...new Set(lost.map(({ fingerprint }) => fingerprint))],
      });
    } finally {
      pendingByTarget.delete(target.id);
    }
  }

  return {
    lost(req, target, hasBegun) {
      const { id, promptParts } = req.caller;
      const request = {
        id, promptParts, hasBegun, fingerprint: fingerprintOf(req),
      };
      const pending = pendingByTarget.get(target.id);
      if (pending) {
        pending.push(request);
        return;
      }
      const lost = [request];
      pendingByTarget.set(target.id, lost);
      checkCrashed(target, lost);
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
