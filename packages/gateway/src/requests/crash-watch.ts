/**
 * Checks whether targets that dropped requests have crashed, and recognises requests that crash one
 * target after another, so that no entry runs them again.
 */
import { createHash } from 'node:crypto';
import type { Logger } from 'pino';
import {
  errorFields, incarnationOf, isHeldBack, TargetError, type Clock, type ServingTarget,
} from '@verbenashunt/core';
import { requestReport, type ReportDeps } from '../routing/report.js';
import type { CrashTable } from '../store/crash-table.js';
import type { RequestSpec } from './spec.js';

export interface CrashWatchDeps extends ReportDeps {
  clock: Clock;
  log: Logger;
  crashTable: CrashTable;
  /** Whether a target accepts a connection. */
  isReachable(target: ServingTarget): Promise<boolean>;
  /** Counts a crash that this entry has seen. */
  crashSeen(by: 'self'): void;
}

/** What a target sees of a request, apart from the id of the attempt. */
export type RequestContent = Pick<RequestSpec, 'caller' | 'body' | 'organisation'>;

/** How far the attempt at a target has come. */
export interface AttemptProgress {
  /** When it was sent, on the entry's clock. */
  sentAt: number;
  /** Whether the target had sent a part of the answer. */
  hasBegun: boolean;
}

/** A request that a target dropped. */
interface LostRequest extends AttemptProgress {
  id: string;
  fingerprint: string;
  /** Parts of its prompt that other requests may share. */
  parts: readonly string[];
}

/** A target that is being asked for its report. */
interface PendingCheck {
  /** When the first of its requests was lost, on the entry's clock. */
  since: number;
  lost: LostRequest[];
  /** Called when the check is done. */
  onChecked: (() => void)[];
}

export interface CrashWatch {
  /**
   * Records that a target may have crashed while it ran a request, and checks whether it did.
   * `onChecked` is called once `findPoison` takes this into account: at once for a request that is
   * not under suspicion of having crashed it.
   */
  lost(
    req: RequestContent,
    target: ServingTarget,
    progress: AttemptProgress,
    onChecked: () => void,
  ): void;
  /** Records that the answer to a request has begun. */
  begun(req: RequestContent): void;
  /** Records that a target answered a request completely. */
  answered(req: RequestContent): void;
  /** Why a request must not run, as it crashes targets; undefined if it may run. */
  findPoison(req: RequestContent): string | undefined;
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

/** The last part of a prompt belongs to one request or session alone. */
const sharedParts = ({ caller }: RequestContent) => caller.promptParts.slice(0, -1);

const unbegunOf = (lost: readonly LostRequest[]) => lost.filter(({ hasBegun }) => !hasBegun);

export function createCrashWatch(deps: CrashWatchDeps): CrashWatch {
  const { clock, log, crashTable } = deps;
  /** By target. */
  const pendingChecks = new Map<string, PendingCheck>();

  function logCrash(target: ServingTarget, lost: readonly LostRequest[], err: unknown) {
    const unbegun = unbegunOf(lost);
    log.warn({
      target: target.id,
      requests: lost.length,
      begun: lost.length - unbegun.length,
      unbegun: unbegun.slice(0, maxLoggedRequests)
        .map(({ id, parts }) => ({ req: id, parts })),
      ...errorFields(err),
    }, 'target crashed with requests');
  }

  /** Resolves to the error by which a target shows that it has crashed; undefined if it lives. */
  async function findCrash(target: ServingTarget): Promise<unknown> {
    try {
      await requestReport(deps, target, reportTimeoutMs);
      return undefined;
    } catch (err) {
      // Any answer, even an invalid report, shows that the target is alive.
      if (err instanceof TargetError) return err;
      return isHeldBack(err) && !await deps.isReachable(target) ? err : undefined;
    }
  }

  async function checkCrashed(target: ServingTarget, { since, lost, onChecked }: PendingCheck) {
    const err = await findCrash(target);
    pendingChecks.delete(target.id);
    if (err !== undefined) {
      logCrash(target, lost, err);
      deps.crashSeen('self');
      crashTable.recordCrash({
        target: incarnationOf(target),
        fingerprints: [...new Set(lost.map(({ fingerprint }) => fingerprint))],
        at: since,
        unbegun: unbegunOf(lost),
      });
    }
    onChecked.forEach((callback) => callback());
  }

  return {
    lost(req, target, progress, onChecked) {
      const request = {
        ...progress,
        id: req.caller.id,
        parts: sharedParts(req),
        fingerprint: fingerprintOf(req),
      };
      const isSuspect = !request.hasBegun && request.parts.length > 0;
      const check = pendingChecks.get(target.id)
        ?? { since: clock.now(), lost: [], onChecked: [] };
      check.lost.push(request);
      if (isSuspect) check.onChecked.push(onChecked);
      if (!pendingChecks.has(target.id)) {
        pendingChecks.set(target.id, check);
        checkCrashed(target, check);
      }
      if (!isSuspect) onChecked();
    },
    begun: (req) => crashTable.recordBegun(sharedParts(req)),
    answered(req) {
      if (crashTable.isEmpty) return;
      const fingerprint = fingerprintOf(req);
      const targets = crashTable.targetsOf(fingerprint);
      if (targets.length > 0) crashTable.recordAnswerAfterCrash({ fingerprint, targets });
    },
    findPoison(req) {
      if (crashTable.isEmpty) return undefined;
      const part = crashTable.findCrashingPart(sharedParts(req));
      if (part !== undefined) return `part ${part} of its prompt`;
      return crashTable.isPoison(fingerprintOf(req)) ? 'its content' : undefined;
    },
  };
}
