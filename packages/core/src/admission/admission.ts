/**
 * Admission to one resource: work waits in fair order until a target has room, and is refused at
 * once when it would wait longer than it can.
 */
import { createRefusal, type Refusal } from '../errors/errors.js';
import { createFairQueue, type QueuedWork } from './fair-queue.js';
import { createServiceRate } from './service-rate.js';

export interface AdmissionWork extends QueuedWork {
  /** Weight of the organisation. */
  weight: number;
  /** Begins the work. */
  start(): void;
  refuse(refusal: Refusal): void;
}

export interface AdmissionOptions {
  now(): number;
  /** Work that may wait in all. */
  maxQueue: number;
  /** Longest wait that is promised, in milliseconds. */
  maxWaitMs: number;
  /** Whether there is room for the work now. */
  canStart(work: AdmissionWork): boolean;
}

export interface Admission {
  readonly queued: number;
  /** Starts, queues or refuses the work before it returns. */
  submit(work: AdmissionWork): void;
  /** Starts what has room now and refuses what can no longer be done in time. */
  drain(): void;
  /** Queues work again that was started and then found no room; it is not charged twice. */
  putBack(work: AdmissionWork): void;
  /** Takes back work that still waits; returns whether it did. */
  withdraw(work: AdmissionWork): boolean;
  /** Says what started work cost in the end. */
  settle(work: AdmissionWork, actualCost: number): void;
}

const minRetryMs = 250;

export function createAdmission(options: AdmissionOptions): Admission {
  const queue = createFairQueue<AdmissionWork>();
  const served = createServiceRate();
  /** Work put back while draining; it waits for the next time. */
  let returned: AdmissionWork[] = [];
  let draining = false;

  /** Milliseconds until the organisation's backlog is served at its fair share. */
  function waitMs(org: string, weight: number, cost: number): number {
    const rate = served.perMs();
    if (rate === undefined) return 0;
    const others = queue.backloggedWeight - (queue.sizeOf(org) > 0 ? weight : 0);
    const share = weight / (others + weight);
    return (queue.backlogOf(org) + cost) / (rate * share);
  }

  function refuseOverloaded(work: AdmissionWork) {
    const wait = waitMs(work.org, work.weight, 0);
    work.refuse(createRefusal('overloaded', { retryAfterMs: Math.max(minRetryMs, wait) }));
  }

  function drain() {
    if (draining) return;
    const now = options.now();
    queue.remove(({ deadline }) => deadline <= now)
      .forEach((work) => work.refuse(createRefusal('deadline')));
    const startNext = (): boolean => {
      const work = queue.pop(options.canStart);
      if (!work) return false;
      served.add(work.cost, now);
      work.start();
      return true;
    };
    draining = true;
    while (startNext());
    draining = false;
    returned.forEach((work) => queue.push(work, work.weight));
    returned = [];
    if (queue.size === 0) served.idle(now);
  }

  return {
    get queued() {
      return queue.size + returned.length;
    },
    submit(work) {
      const now = options.now();
      if (work.deadline <= now) {
        work.refuse(createRefusal('deadline'));
        return;
      }
      queue.push(work, work.weight);
      drain();
      const allowedMs = Math.min(options.maxWaitMs, work.deadline - now);
      const waiting = waitMs(work.org, work.weight, 0) > allowedMs
        ? queue.remove((other) => other === work)
        : [];
      waiting.forEach(refuseOverloaded);
      const evicted = queue.size > options.maxQueue ? queue.evict() : undefined;
      if (evicted) refuseOverloaded(evicted);
    },
    drain,
    putBack(work) {
      queue.settle(work.org, -work.cost);
      if (work.deadline <= options.now()) work.refuse(createRefusal('deadline'));
      else if (draining) returned.push(work);
      else queue.push(work, work.weight);
    },
    withdraw(work) {
      const { length } = returned;
      returned = returned.filter((other) => other !== work);
      return returned.length < length || queue.remove((other) => other === work).length > 0;
    },
    settle: (work, actualCost) => queue.settle(work.org, actualCost - work.cost),
  };
}
