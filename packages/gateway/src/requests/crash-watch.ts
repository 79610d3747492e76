/**
 * Finds out whether targets that broke requests off have crashed, and keeps requests that crash one
 * target after the other from running again, at whichever entry they come.
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
  crashes: CrashTable;
}

/** What a request is to a target, apart from the id of the attempt. */
export type CrashingRequest = Pick<RequestSpec, 'caller' | 'body' | 'organisation'>;

export interface CrashWatch {
  /** A target that ran a request broke it off. */
  lost(req: CrashingRequest, target: ServingTarget): void;
  /** A target answered a request in whole. */
  answered(req: CrashingRequest): void;
  /** Whether a request must not run, as it crashes targets. */
  isPoison(req: CrashingRequest): boolean;
}

/** Time for a target to show that it lives in milliseconds. */
const answerTimeoutMs = 500;
/** Letters of a fingerprint: 72 bits. */
const fingerprintLength = 12;

/** The same for requests that a target can't tell apart. */
export function fingerprintOf({ caller, body, organisation }: CrashingRequest): string {
  return createHash('sha1')
    .update(`${organisation ?? ''}\n${caller.method} ${caller.target}\n`)
    .update(body ?? '')
    .digest('base64url')
    .slice(0, fingerprintLength);
}

export function createCrashWatch(deps: CrashWatchDeps): CrashWatch {
  const { log, crashes } = deps;
  /** Requests that targets broke off and that wait for the answer to a question, by target. */
  const asking = new Map<string, Set<string>>();

  async function ask(target: ServingTarget, fingerprints: ReadonlySet<string>) {
    try {
      await requestReport(deps, target, answerTimeoutMs);
    } catch (err) {
      // An answer that is no report shows that the target lives all the same.
      if (!(err instanceof TargetError)) return;
      log.warn({
        target: target.id, requests: fingerprints.size, ...errorFields(err),
      }, 'target crashed with requests');
      crashes.recordCrash({
        target: incarnationOf(target), fingerprints: [...fingerprints],
      });
    } finally {
      asking.delete(target.id);
    }
  }

  return {
    lost(req, target) {
      const waiting = asking.get(target.id);
      const fingerprints = waiting ?? new Set<string>();
      fingerprints.add(fingerprintOf(req));
      if (waiting) return;
      asking.set(target.id, fingerprints);
      ask(target, fingerprints);
    },
    answered(req) {
      if (crashes.isEmpty) return;
      const fingerprint = fingerprintOf(req);
      const targets = crashes.targetsOf(fingerprint);
      if (targets.length > 0) crashes.recordAcquittal({ fingerprint, targets });
    },
    isPoison: (req) => !crashes.isEmpty && crashes.isPoison(fingerprintOf(req)),
  };
}
