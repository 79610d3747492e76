/**
 * Admission control for one resource: work is queued in order until a target has capacity, and is
 * refused immediately when its estimated wait exceeds the allowed wait or its deadline.
 */
import { createRefusal, type Refusal } from '../errors/errors.js';
import { createFairQueue } from './fair-queue.js';
import { createServiceRate } from './service-rate.js';
import type { QueuedWork, WorkQueue } from './work-queue.js';

/**
 * Why work is refused.
 * - `deadline`: its deadline has passed.
 * - `waited`: it has waited as long as it may.
 * - `predicted`: the predicted wait exceeds the allowed one.
 * - `evicted`: the queue is full.
 */
export type AdmissionRefusalReason = 'deadline' | 'waited' | 'predicted' | 'evicted';

export interface AdmissionWork extends QueuedWork {
  /** Weight of the organisation in the fair queue. */
  weight: number;
  /** Memory in bytes that it holds while it waits; 0 by default. */
  bytes?: number;
  /** Time from which it is refused instead of queued; its deadline by default. */
  waitUntil?: number;
  start(): void;
  refuse(refusal: Refusal, reason: AdmissionRefusalReason): void;
}

export interface AdmissionOptions<T extends AdmissionWork> {
  now(): number;
  /** Maximum number of queued work items over all organisations. */
  maxQueue: number;
  /** Maximum number of bytes that queued work holds; unlimited by default. */
  maxQueueBytes?: number;
  /** Work whose estimated wait exceeds this many milliseconds is refused. */
  maxWaitMs: number;
  /** Age in milliseconds from which a measured service rate is ignored; unlimited by default. */
  maxRateAgeMs?: number;
  /** Order of the waiting work; a fair queue over organisations by default. */
  queue?: WorkQueue<T>;
  /** Whether a target has capacity for the work now. */
  canStart(work: T): boolean;
}

export interface Admission<T extends AdmissionWork = AdmissionWork> {
  readonly queued: number;
  /** Starts, queues or refuses the work before it returns. */
  submit(work: T): void;
  /** Refuses queued work past its deadline, then starts all work that has capacity now. */
  dispatch(): void;
  /**
   * Queues work again that was started but found no capacity. Its cost is refunded first, so that
   * the organisation is charged once.
   */
  requeue(work: T): void;
  /** Removes work that is still queued; returns false when it was not. */
  cancel(work: T): boolean;
  /** Replaces the expected cost of started work by the actual one in the fair-share accounting. */
  recordActualCost(work: T, actualCost: number): void;
  /** Milliseconds until work is expected to start if it were submitted now; 0 if unknown. */
  predictWaitMs(work: Pick<T, 'org' | 'priority' | 'weight' | 'cost'>): number;
}

const minRetryAfterMs = 250;

/** Time from which work is refused if it still waits. */
const limitOf = ({ deadline, waitUntil = Infinity }: AdmissionWork) => Math
  .min(deadline, waitUntil);

export function createAdmission<T extends AdmissionWork = AdmissionWork>(
  options: AdmissionOptions<T>,
): Admission<T> {
  const { maxQueueBytes = Infinity, queue = createFairQueue<T>() } = options;
  const serviceRate = createServiceRate(options.maxRateAgeMs);
  /** Work requeued during a dispatch; it is only considered again by the next one. */
  let requeued: T[] = [];
  let dispatching = false;
  /** Bytes that the work in `queue` holds. */
  let queuedBytes = 0;
  /** No work in `queue` has an earlier limit than this. */
  let earliestLimit = Infinity;

  const release = (work: T) => {
    queuedBytes -= work.bytes ?? 0;
  };

  function push(work: T) {
    queue.push(work, work.weight);
    queuedBytes += work.bytes ?? 0;
    earliestLimit = Math.min(earliestLimit, limitOf(work));
  }

  function take(work: T): boolean {
    if (!queue.take(work)) return false;
    release(work);
    return true;
  }

  /** Milliseconds until a cost has started at the measured service rate; 0 while it is unknown. */
  function estimateWaitMs(
    work: Pick<T, 'org' | 'priority' | 'weight'>,
    addedCost: number,
  ): number {
    const rate = serviceRate.perMs(options.now());
    return rate === undefined ? 0 : queue.costAhead(work, work.weight, addedCost) / rate;
  }

  function refuseOverloaded(work: T, reason: AdmissionRefusalReason) {
    const wait = estimateWaitMs(work, 0);
    const retryAfterMs = Math.max(minRetryAfterMs, wait);
    work.refuse(createRefusal('overloaded', { retryAfterMs }), reason);
  }

  /** Removes and returns the queued work that matches the predicate. */
  function removeAll(predicate: (work: T) => boolean): T[] {
    const removed = queue.remove(predicate);
    removed.forEach(release);
    return removed;
  }

  function refuseExpired(now: number) {
    if (earliestLimit > now) return;
    removeAll(({ deadline }) => deadline <= now)
      .forEach((work) => work.refuse(createRefusal('deadline'), 'deadline'));
  }

  function refuseWaited(now: number) {
    if (earliestLimit > now) return;
    earliestLimit = Infinity;
    removeAll((work) => {
      const hasPassed = limitOf(work) <= now;
      if (!hasPassed) earliestLimit = Math.min(earliestLimit, limitOf(work));
      return hasPassed;
    }).forEach((work) => refuseOverloaded(work, 'waited'));
  }

  function dispatch() {
    if (dispatching) return;
    const now = options.now();
    refuseExpired(now);
    const startNext = (): boolean => {
      const work = queue.pop(options.canStart);
      if (!work) return false;
      release(work);
      serviceRate.recordStart(work.cost, now);
      work.start();
      return true;
    };
    dispatching = true;
    while (startNext());
    dispatching = false;
    // Capacity that is free now is used first, also by work that may not wait any longer.
    refuseWaited(now);
    requeued.forEach(push);
    requeued = [];
    if (queue.size === 0) serviceRate.recordIdle(now);
  }

  const isOverfull = () => queue.size > options.maxQueue || queuedBytes > maxQueueBytes;

  /** Evicts work until the queue is within its bounds. */
  function evictFor(incoming: T) {
    const evicted: T[] = [];
    while (isOverfull()) {
      const work = queue.evict(incoming);
      if (!work) break;
      release(work);
      evicted.push(work);
    }
    // If the incoming work does not fit in any case, nothing else is refused for it.
    const refused = evicted.includes(incoming) ? [incoming] : evicted;
    evicted.filter((work) => !refused.includes(work)).forEach(push);
    refused.forEach((work) => refuseOverloaded(work, 'evicted'));
  }

  /** Refuses submitted work that still waits and is not expected to start within its limits. */
  function refuseIfTooLate(work: T) {
    const now = options.now();
    const allowedMs = Math.min(options.maxWaitMs, limitOf(work) - now);
    const hasTime = allowedMs > 0;
    if (hasTime && estimateWaitMs(work, 0) <= allowedMs) return;
    if (take(work)) refuseOverloaded(work, hasTime ? 'predicted' : 'waited');
  }

  return {
    get queued() {
      return queue.size + requeued.length;
    },
    submit(work) {
      if (work.deadline <= options.now()) {
        work.refuse(createRefusal('deadline'), 'deadline');
        return;
      }
      push(work);
      dispatch();
      refuseIfTooLate(work);
      evictFor(work);
    },
    dispatch,
    requeue(work) {
      queue.adjustUsage(work, -work.cost);
      if (work.deadline <= options.now()) work.refuse(createRefusal('deadline'), 'deadline');
      else if (dispatching) requeued.push(work);
      else push(work);
    },
    cancel(work) {
      const { length } = requeued;
      requeued = requeued.filter((other) => other !== work);
      return requeued.length < length || take(work);
    },
    recordActualCost: (work, actualCost) => queue.adjustUsage(work, actualCost - work.cost),
    predictWaitMs: (work) => estimateWaitMs(work, work.cost),
  };
}
