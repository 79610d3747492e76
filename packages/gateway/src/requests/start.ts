/** Starts a request that no target has accepted yet, or lets it wait in its service's queue. */
import type { AdmissionRefusalReason, Clock, RefusalCode } from '@verbenashunt/core';
import type { RequestMetrics } from '../metrics.js';
import { findCapacity, type Capacity, type CapacityDeps } from '../routing/admission.js';
import type { Choice } from '../routing/selector.js';
import type { RequestLog } from './request-log.js';
import type { RequestSpec } from './spec.js';
import {
  queueAccountOf, queueFieldsOf, type StartQueue, type StartWork,
} from './start-queue.js';

export interface StarterDeps extends CapacityDeps, Pick<RequestMetrics, 'waited' | 'queueRefused'> {
  clock: Clock;
  log: RequestLog;
  startQueue: StartQueue;
  /** Whether the entry is stopping. */
  isStopping(): boolean;
}

/** The request that is started. */
export interface StartedRequest {
  spec: RequestSpec;
  /** Ids of targets that must not be chosen. */
  avoid: Set<string>;
  /** Takes a retry from the budget unless one is left over; false if there is none. */
  payRetry(): boolean;
  start(choice: Choice): void;
  /** Ends the request, which no target has run since it was submitted. */
  giveUp(code: RefusalCode, reason: string): void;
}

export interface Starter {
  /** Starts, queues or refuses the request before it returns. */
  start(): void;
  /**
   * Lets the request wait after targets refused it; false if its objective leaves no time or the
   * retry budget no retry.
   */
  startAgain(): boolean;
  /** Removes the request from the queue. */
  leave(): void;
}

/** Largest part of the objective that the expected time to the first event may take. */
const maxFirstEventShare = 0.5;
/** Largest part of its time that a request waits, so that its caller can still try elsewhere. */
const maxWaitShare = 0.5;
/** Time in milliseconds for which targets that refused a request are not chosen again. */
const refusedAvoidMs = 150;

const refusalTexts: Record<AdmissionRefusalReason, string> = {
  deadline: 'expired',
  waited: 'no capacity within the time that it may wait',
  predicted: 'the predicted wait is too long',
  evicted: 'the queue is full',
};

export function createStarter(request: StartedRequest, deps: StarterDeps): Starter {
  const { spec, avoid } = request;
  const { clock, log, startQueue } = deps;
  /** The request as submitted last; undefined before. */
  let work: StartWork | undefined;
  /** Since when it waits; undefined when it does not. */
  let waitingSince: number | undefined;

  /** Time from which the answer would miss the objective even if the request started then. */
  function waitUntil(): number {
    const { objectiveMs } = spec.route;
    const expectedMs = spec.service.engine
      ? Math.min(startQueue.firstEventMs, maxFirstEventShare * objectiveMs)
      : 0;
    const maxWaitMs = maxWaitShare * (spec.expiresAt - spec.arrivedAt);
    return spec.arrivedAt + Math.min(objectiveMs - expectedMs, maxWaitMs);
  }

  function endWait() {
    if (waitingSince === undefined) return;
    deps.waited(clock.now() - waitingSince);
    waitingSince = undefined;
  }

  /**
   * Starts a request that can no longer be in time, if targets are in time for new ones; its caller
   * gets the answer sooner than by coming back.
   */
  function startLate(reason: AdmissionRefusalReason): boolean {
    if (deps.isStopping() || (reason !== 'waited' && reason !== 'predicted')) return false;
    const capacity = findCapacity({ spec, avoid, waitedMs: 0 }, deps);
    if (capacity.state !== 'free') return false;
    request.start(capacity.choice);
    return true;
  }

  function createWork(isRetry: boolean, onSettled: () => void): StartWork {
    const submittedAt = clock.now();
    let capacity: Capacity | undefined;

    function settle() {
      onSettled();
      endWait();
    }

    return {
      ...queueAccountOf(spec),
      deadline: spec.expiresAt,
      bytes: spec.body?.length ?? 0,
      waitUntil: waitUntil(),
      canStart() {
        const waitedMs = clock.now() - submittedAt;
        if (isRetry && waitedMs >= refusedAvoidMs) avoid.clear();
        capacity = findCapacity({ spec, avoid, waitedMs }, deps);
        // Without any target a new request starts, which refuses it; a refused one waits for some.
        if (capacity.state === 'none') return !isRetry;
        return capacity.state === 'free';
      },
      start() {
        settle();
        if (capacity?.state === 'free') request.start(capacity.choice);
        else if (capacity?.state === 'none') request.giveUp(capacity.code, capacity.reason);
      },
      refuse(_, reason) {
        settle();
        if (startLate(reason)) return;
        deps.queueRefused(reason);
        request.giveUp(deps.isStopping() ? 'stopping' : 'overloaded', refusalTexts[reason]);
      },
      whyWaiting: () => (capacity?.state === 'busy' ? capacity.reason : 'other requests go first'),
    };
  }

  function submit(isRetry: boolean) {
    let isSettled = false;
    const submitted = createWork(isRetry, () => {
      isSettled = true;
    });
    work = submitted;
    startQueue.submit(submitted);
    if (isSettled) return;
    waitingSince = clock.now();
    log.info({
      req: spec.caller.id, reason: submitted.whyWaiting(), ...queueFieldsOf(spec, startQueue),
    }, 'request waits');
  }

  return {
    start: () => submit(false),
    startAgain() {
      // Paid for now, as a request without budget would hold up those behind it in the queue.
      if (waitUntil() <= clock.now() || !request.payRetry()) return false;
      if (work) startQueue.refund(work);
      submit(true);
      return true;
    },
    leave() {
      if (work) startQueue.cancel(work);
      endWait();
    },
  };
}
