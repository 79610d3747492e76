/**
 * Targets that requests found dead or failing. A target is avoided for a short time after a failure
 * that tells of the whole target, longer with each one in a row; a success ends that.
 */
import QuickLRU from 'quick-lru';
import type { Clock } from '../clock/clock.js';

export interface TargetHealth {
  /** The target is dead or can't be reached. */
  failed(id: string): void;
  /** It refused a request; several in a row without a success count as a failure. */
  doubted(id: string): void;
  /** It took a request and failed it; so does one that errs often, beside successes. */
  erred(id: string): void;
  succeeded(id: string): void;
  /** Whether other targets are to be preferred. */
  isSuspect(id: string): boolean;
  /** Whether it has failed again after it was avoided, without a success since. */
  isFailing(id: string): boolean;
}

interface Suspicion {
  failures: number;
  until: number;
}

/** Targets that something is kept of; ids of targets that are gone drop out. */
const maxTargets = 4096;
/** Time for which a target is avoided after its first failure in milliseconds. */
const firstAvoidMs = 500;
/** Time for which a target is avoided at the most; recovery is noticed within it. */
const maxAvoidMs = 2000;

/** Doubts in a row that count as a failure. */
const maxDoubts = 4;
/** Part of the errors so far that is left after a success: one error in four requests adds up. */
const errorsLeft = 0.7;
/** Weight of errors, newest counting 1, that counts as a failure. */
const maxErrors = 2;
/** Weight below which successes end a suspicion. */
const errorsForgotten = 0.4;
/** Weight that is left then, so that one more error is enough when the target is tried again. */
const errorsAfter = maxErrors - 1;

export function createTargetHealth(clock: Clock): TargetHealth {
  const errors = new QuickLRU<string, number>({ maxSize: maxTargets });
  const suspicions = new QuickLRU<string, Suspicion>({ maxSize: maxTargets });
  const doubts = new QuickLRU<string, number>({ maxSize: maxTargets });

  const isSuspect = (id: string) => (suspicions.get(id)?.until ?? 0) > clock.now();

  function failed(id: string) {
    if (isSuspect(id)) return;
    const failures = (suspicions.get(id)?.failures ?? 0) + 1;
    const avoidMs = Math.min(maxAvoidMs, firstAvoidMs * 2 ** (failures - 1));
    suspicions.set(id, { failures, until: clock.now() + avoidMs });
  }

  return {
    failed,
    doubted(id) {
      const count = (doubts.get(id) ?? 0) + 1;
      doubts.set(id, count % maxDoubts);
      if (count === maxDoubts) failed(id);
    },
    erred(id) {
      const weight = (errors.get(id) ?? 0) + 1;
      if (weight >= maxErrors) failed(id);
      errors.set(id, weight >= maxErrors ? errorsAfter : weight);
    },
    succeeded(id) {
      doubts.delete(id);
      const weight = (errors.get(id) ?? 0) * errorsLeft;
      if (weight > errorsForgotten) {
        errors.set(id, weight);
        return;
      }
      errors.delete(id);
      suspicions.delete(id);
    },
    isSuspect,
    isFailing: (id) => (suspicions.get(id)?.failures ?? 0) >= 2,
  };
}
