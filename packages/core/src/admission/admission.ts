/**
 * Admission control for one resource: work is queued in fair order until a target has capacity,
 * and is refused immediately when its estimated wait exceeds the allowed wait or its deadline.
 */
import { createRefusal, type Refusal } from '../errors/errors.js';
import { createFairQueue, type QueuedWork } from './fair-queue.js';
import { createServiceRate } from './service-rate.js';

export interface AdmissionWork extends QueuedWork {
  /** Weight of the organisation in the fair queue. */
  weight: number;
  start(): void;
  refuse(refusal: Refusal): void;
}

export interface AdmissionOptions {
  now(): number;
  /** Maximum number of queued work items over all organisations. */
  maxQueue: number;
  /** Work whose estimated wait exceeds this many milliseconds is refused. */
  maxWaitMs: number;
  /** Whether a target has capacity for the work now. */
  canStart(work: AdmissionWork): boolean;
}

export interface Admission {
  readonly queued: number;
  /** Starts, queues or refuses the work before it returns. */
  submit(work: AdmissionWork): void;
  /** Refuses queued work past its deadline, then starts all work that has capacity now. */
  dispatch(): void;
  /**
   * Queues work again that was started but found no capacity. Its cost is refunded first, so that
   * the organisation is charged once.
   */
  requeue(work: AdmissionWork): void;
  /** Removes work that is still queued; returns false when it was not. */
  cancel(work: AdmissionWork): boolean;
  /** Replaces the expected cost of started work by the actual one in the fair-share accounting. */
  recordActualCost(work: AdmissionWork, actualCost: number): void;
}

const minRetryAfterMs = 250;

export function createAdmission(options: AdmissionOptions): Admission {
  const queue = createFairQueue<AdmissionWork>();
  const serviceRate = createServiceRate();
  /** Work requeued during a dispatch; it is only considered again by the next one. */
  let requeued: AdmissionWork[] = [];
  let dispatching = false;

  /**
   * Milliseconds until the organisation's backlog is served at its fair share of the measured
   * service rate; 0 while the rate is unknown.
   */
  function estimateWaitMs(org: string, weight: number, cost: number): number {
    const rate = serviceRate.perMs();
    if (rate === undefined) return 0;
    const otherWeight = queue.backloggedWeight - (queue.sizeOf(org) > 0 ? weight : 0);
    const share = weight / (otherWeight + weight);
    return (queue.backlogOf(org) + cost) / (rate * share);
  }

  function refuseOverloaded(work: AdmissionWork) {
    const wait = estimateWaitMs(work.org, work.weight, 0);
    work.refuse(createRefusal('overloaded', { retryAfterMs: Math.max(minRetryAfterMs, wait) }));
  }

  function dispatch() {
    if (dispatching) return;
    const now = options.now();
    queue.remove(({ deadline }) => deadline <= now)
      .forEach((work) => work.refuse(createRefusal('deadline')));
    const startNext = (): boolean => {
      const work = queue.pop(options.canStart);
      if (!work) return false;
      serviceRate.recordStart(work.cost, now);
      work.start();
      return true;
    };
    dispatching = true;
    while (startNext());
    dispatching = false;
    requeued.forEach((work) => queue.push(work, work.weight));
    requeued = [];
    if (queue.size === 0) serviceRate.recordIdle(now);
  }

  return {
    get queued() {
      return queue.size + requeued.length;
    },
    submit(work) {
      const now = options.now();
      if (work.deadline <= now) {
        work.refuse(createRefusal('deadline'));
        return;
      }
      queue.push(work, work.weight);
      dispatch();
      const allowedMs = Math.min(options.maxWaitMs, work.deadline - now);
      const overdue = estimateWaitMs(work.org, work.weight, 0) > allowedMs
        ? queue.remove((other) => other === work)
        : [];
      overdue.forEach(refuseOverloaded);
      const evicted = queue.size > options.maxQueue ? queue.evict() : undefined;
      if (evicted) refuseOverloaded(evicted);
    },
    dispatch,
    requeue(work) {
      queue.adjustUsage(work.org, -work.cost);
      if (work.deadline <= options.now()) work.refuse(createRefusal('deadline'));
      else if (dispatching) requeued.push(work);
      else queue.push(work, work.weight);
    },
    cancel(work) {
      const { length } = requeued;
      requeued = requeued.filter((other) => other !== work);
      return requeued.length < length || queue.remove((other) => other === work).length > 0;
    },
    recordActualCost: (work, actualCost) => queue.adjustUsage(work.org, actualCost - work.cost),
  };
}
