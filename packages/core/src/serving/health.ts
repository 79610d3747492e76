/**
 * Passive health checks: tracks targets that requests found unreachable or failing. After a failure
 * a target is suspect for a short time, which grows with each further failure until requests
 * succeed.
 */
import QuickLRU from 'quick-lru';
import type { Clock } from '../clock/clock.js';

export interface TargetHealth {
  /** The target is dead or unreachable; makes it suspect at once. */
  recordFailure(id: string): void;
  /** The target refused a request; several refusals without a success count as a failure. */
  recordRefusal(id: string): void;
  /** The target accepted a request and failed it; a high error rate counts as a failure. */
  recordError(id: string): void;
  recordSuccess(id: string): void;
  /** Whether other targets should be preferred for now. */
  isSuspect(id: string): boolean;
  /** Milliseconds for which the target is still suspect; 0 if it isn't. */
  suspectMs(id: string): number;
  /** Whether the target failed again after it had been suspect, and has not recovered since. */
  isFailing(id: string): boolean;
}

interface Suspicion {
  failures: number;
  suspectUntil: number;
}

/** Targets tracked at once; the least recently used ids are evicted. */
const maxTargets = 4096;
/** Time in milliseconds for which a target is suspect after its first failure. */
const firstSuspectMs = 500;
/** Longest time in milliseconds for which a target is suspect; bounds the delay of its recovery. */
const maxSuspectMs = 2000;

/** Refusals in a row that count as a failure. */
const refusalThreshold = 4;
/**
 * Factor on the error weight at each success; low enough to forgive rare errors, high enough that
 * one error in four requests adds up.
 */
const errorDecay = 0.7;
/** Error weight that counts as a failure; each error adds 1. */
const errorThreshold = 2;
/** Error weight at or below which a success clears the target's failures. */
const recoveredWeight = 0.4;
/** Error weight after a failure; one more error is enough to make the target suspect again. */
const weightAfterFailure = errorThreshold - 1;

export function createTargetHealth(clock: Clock): TargetHealth {
  const errorWeights = new QuickLRU<string, number>({ maxSize: maxTargets });
  const suspicions = new QuickLRU<string, Suspicion>({ maxSize: maxTargets });
  const refusals = new QuickLRU<string, number>({ maxSize: maxTargets });

  const suspectMs = (id: string) => Math
    .max(0, (suspicions.get(id)?.suspectUntil ?? 0) - clock.now());
  const isSuspect = (id: string) => suspectMs(id) > 0;

  function recordFailure(id: string) {
    if (isSuspect(id)) return;
    const failures = (suspicions.get(id)?.failures ?? 0) + 1;
    const nextMs = Math.min(maxSuspectMs, firstSuspectMs * 2 ** (failures - 1));
    suspicions.set(id, { failures, suspectUntil: clock.now() + nextMs });
  }

  return {
    recordFailure,
    recordRefusal(id) {
      const count = (refusals.get(id) ?? 0) + 1;
      refusals.set(id, count % refusalThreshold);
      if (count === refusalThreshold) recordFailure(id);
    },
    recordError(id) {
      const weight = (errorWeights.get(id) ?? 0) + 1;
      if (weight >= errorThreshold) recordFailure(id);
      errorWeights.set(id, weight >= errorThreshold ? weightAfterFailure : weight);
    },
    recordSuccess(id) {
      refusals.delete(id);
      const weight = (errorWeights.get(id) ?? 0) * errorDecay;
      if (weight > recoveredWeight) {
        errorWeights.set(id, weight);
        return;
      }
      errorWeights.delete(id);
      suspicions.delete(id);
    },
    isSuspect,
    suspectMs,
    isFailing: (id) => (suspicions.get(id)?.failures ?? 0) >= 2,
  };
}
