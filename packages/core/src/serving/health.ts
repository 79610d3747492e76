/**
 * Targets that requests found dead or failing. A target is avoided for a short time after a failure
 * that tells of the whole target, longer with each one in a row; a success ends that.
 */
import type { Clock } from '../clock/clock.js';

export interface TargetHealth {
  /** The target is dead or can't be reached. */
  failed(id: string): void;
  /** A request failed there; several in a row without a success count as a failure. */
  doubted(id: string): void;
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

/** Time for which a target is avoided after its first failure in milliseconds. */
const firstAvoidMs = 500;
/** Time for which a target is avoided at the most; recovery is noticed within it. */
const maxAvoidMs = 2000;

/** Doubts in a row that count as a failure. */
const maxDoubts = 4;

export function createTargetHealth(clock: Clock): TargetHealth {
  const suspicions = new Map<string, Suspicion>();
  const doubts = new Map<string, number>();

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
    succeeded(id) {
      suspicions.delete(id);
      doubts.delete(id);
    },
    isSuspect,
    isFailing: (id) => (suspicions.get(id)?.failures ?? 0) >= 2,
  };
}
