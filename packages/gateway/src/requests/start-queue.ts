/**
 * Queue of a service's requests that no target has accepted yet. They start by priority, and fairly
 * over organisations within a priority, as soon as targets have capacity.
 */
import {
  createAdmission, createPriorityQueue,
  type AdmissionWork, type Clock, type Priority,
} from '@verbenashunt/core';
import type { RequestSpec } from './spec.js';

export interface StartQueueLimits {
  /** Maximum number of waiting requests. */
  maxQueue: number;
  /** Maximum total size in bytes of the bodies of waiting requests. */
  maxQueueBytes: number;
  /** Minimum share, from 0 to 1, of the started cost for each priority with waiting requests. */
  priorityFloor: number;
}

export interface StartWork extends AdmissionWork {
  /** Whether the request can start now; also true if it is to be refused because it never can. */
  canStart(): boolean;
  /** Why it could not start when it was last checked. */
  whyWaiting(): string;
}

export interface StartQueueDeps extends StartQueueLimits {
  clock: Clock;
  /** Whether partly delivered streams take the capacity that is free now. */
  isResuming(): boolean;
}

export interface StartQueue {
  /** Number of waiting requests. */
  readonly size: number;
  /** Number of waiting requests of each priority that was ever queued. */
  countByPriority(): ReadonlyMap<Priority, number>;
  /** Starts, queues or refuses a request before it returns. */
  submit(work: StartWork): void;
  /** Removes a request that still waits; returns false when it does not. */
  cancel(work: StartWork): boolean;
  /** Refunds the cost of a request that was started and did not run. */
  refund(work: StartWork): void;
  /** Starts waiting requests for which there is capacity. */
  dispatch(): void;
  /** Milliseconds until such a request is expected to start; 0 if unknown. */
  predictWaitMs(work: Pick<StartWork, 'org' | 'priority' | 'weight' | 'cost'>): number;
  /** Records the time from sending a stream to its first event. */
  recordFirstEvent(ms: number): void;
  /** Smoothed time from sending a stream to its first event, in milliseconds; 0 if unknown. */
  readonly firstEventMs: number;
}

/** Interval in milliseconds at which waiting requests are checked for capacity. */
const pollMs = 40;
/** Age in milliseconds from which a measured rate of starts is ignored. */
const maxRateAgeMs = 2000;
/** Failed checks for capacity in a period after which the rest of it has no further ones. */
const maxFailedChecks = 2;
/** Duration of a period in milliseconds; a check chooses chains, which takes CPU time. */
const checkPeriodMs = pollMs;
/** Weight of the latest stream in the smoothed time to the first event. */
const smoothingFactor = 0.1;

/** Limits the checks for capacity that fail; all of them are likely to fail at the same time. */
function createCheckLimit(clock: Clock) {
  let periodStart = -Infinity;
  let failed = 0;
  return (check: () => boolean): boolean => {
    const now = clock.now();
    if (now - periodStart >= checkPeriodMs) {
      periodStart = now;
      failed = 0;
    }
    if (failed >= maxFailedChecks) return false;
    const hasCapacity = check();
    if (!hasCapacity) failed += 1;
    return hasCapacity;
  };
}

/** What the queue's order of a request depends on, except for its deadline. */
export const queueAccountOf = ({
  organisation, priority, service, size,
}: RequestSpec) => ({
  org: organisation ?? '',
  weight: 1,
  priority,
  cost: service.engine ? size.promptTokens + size.answerTokens : 1,
});

/** Log fields about the queue, as a request finds it. */
export const queueFieldsOf = (spec: RequestSpec, queue: Pick<StartQueue, 'size' | 'predictWaitMs'>) => ({
  priority: spec.priority,
  organisation: spec.organisation,
  waiting: queue.size,
  predictedMs: Math.round(queue.predictWaitMs(queueAccountOf(spec))),
});

export function createStartQueue(deps: StartQueueDeps): StartQueue {
  const { clock, maxQueue, maxQueueBytes } = deps;
  const limitChecks = createCheckLimit(clock);
  const queue = createPriorityQueue<StartWork>({ floor: deps.priorityFloor, maxQueue });
  let isScheduled = false;
  let firstEventMs = 0;

  const admission = createAdmission<StartWork>({
    now: () => clock.now(),
    maxQueue,
    maxQueueBytes,
    // Each request states how long it may wait.
    maxWaitMs: Infinity,
    maxRateAgeMs,
    queue,
    canStart: (work) => !deps.isResuming() && limitChecks(() => work.canStart()),
  });

  function poll() {
    isScheduled = false;
    admission.dispatch();
    // eslint-disable-next-line @typescript-eslint/no-use-before-define -- each calls the other
    schedule();
  }

  function schedule() {
    if (isScheduled || admission.queued === 0) return;
    isScheduled = true;
    clock.after(pollMs, poll);
  }

  return {
    get size() {
      return admission.queued;
    },
    countByPriority: queue.countByPriority,
    submit(work) {
      admission.submit(work);
      schedule();
    },
    cancel: (work) => admission.cancel(work),
    refund: (work) => admission.recordActualCost(work, 0),
    dispatch() {
      if (admission.queued > 0) admission.dispatch();
    },
    predictWaitMs: admission.predictWaitMs,
    recordFirstEvent(ms) {
      firstEventMs = firstEventMs === 0 ? ms : firstEventMs + smoothingFactor * (ms - firstEventMs);
    },
    get firstEventMs() {
      return firstEventMs;
    },
  };
}
