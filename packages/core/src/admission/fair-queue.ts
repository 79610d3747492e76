/**
 * Weighted fair queue over organisations (start-time fair queueing, Goyal, Vin and Cheng 1996).
 * Within an organisation, work is ordered by descending priority, then by ascending deadline.
 */
import type { QueuedWork, WorkQueue } from './work-queue.js';

interface Flow<T> {
  weight: number;
  /** Virtual finish time of the work started last; the lowest one is served first. */
  virtualFinish: number;
  waiting: T[];
  /** Sum of the costs of the waiting work. */
  backlog: number;
}

export interface FairQueue<T extends QueuedWork> extends WorkQueue<T> {
  /** Sum of the costs of all queued work. */
  readonly backlog: number;
  /**
   * Removes and returns the last work of the organisation with the largest backlog relative to its
   * weight, to be refused.
   */
  evict(): T | undefined;
}

/** Organisations kept before those are removed whose past usage no longer matters. */
const maxIdleFlows = 1000;

const compareWork = (a: QueuedWork, b: QueuedWork) => b.priority - a.priority
  || a.deadline - b.deadline;

/** Index behind all work that is not ordered after `work`; binary search. */
function insertionIndex(waiting: readonly QueuedWork[], work: QueuedWork): number {
  let [low, high] = [0, waiting.length];
  while (low < high) {
    const middle = Math.floor((low + high) / 2);
    if (compareWork(work, waiting[middle]!) < 0) high = middle;
    else low = middle + 1;
  }
  return low;
}

export function createFairQueue<T extends QueuedWork>(): FairQueue<T> {
  const flows = new Map<string, Flow<T>>();
  let virtualTime = 0;
  let size = 0;

  const backlogged = () => [...flows.values()].filter(({ waiting }) => waiting.length > 0);

  function removeAt(flow: Flow<T>, index: number): T {
    const [work] = flow.waiting.splice(index, 1) as [T];
    // Set to zero when empty, as rounding errors of the sums would add up.
    const backlog = flow.waiting.length === 0 ? 0 : flow.backlog - work.cost;
    Object.assign(flow, { backlog });
    size -= 1;
    return work;
  }

  /** Removes flows that a new flow of the same organisation would not differ from. */
  function removeIdleFlows() {
    flows.forEach(({ waiting, virtualFinish }, org) => {
      if (waiting.length === 0 && virtualFinish <= virtualTime) flows.delete(org);
    });
  }

  function getOrCreateFlow(org: string, weight: number): Flow<T> {
    const known = flows.get(org);
    if (known) return known;
    if (flows.size >= maxIdleFlows) removeIdleFlows();
    const flow = {
      weight, virtualFinish: virtualTime, waiting: [], backlog: 0,
    };
    flows.set(org, flow);
    return flow;
  }

  function take(work: T): boolean {
    const flow = flows.get(work.org);
    const index = flow?.waiting.indexOf(work) ?? -1;
    if (index === -1) return false;
    removeAt(flow!, index);
    return true;
  }

  return {
    get size() {
      return size;
    },
    get backlog() {
      return backlogged().reduce((sum, { backlog }) => sum + backlog, 0);
    },
    push(work, weight) {
      const flow = getOrCreateFlow(work.org, weight);
      flow.weight = weight;
      if (flow.waiting.length === 0) flow.virtualFinish = Math.max(flow.virtualFinish, virtualTime);
      flow.waiting.splice(insertionIndex(flow.waiting, work), 0, work);
      flow.backlog += work.cost;
      size += 1;
    },
    pop(canStart) {
      const inOrder = backlogged().sort((a, b) => a.virtualFinish - b.virtualFinish);
      const flow = inOrder.find(({ waiting }) => canStart(waiting[0]!));
      if (!flow) return undefined;
      virtualTime = Math.max(virtualTime, flow.virtualFinish);
      const work = removeAt(flow, 0);
      flow.virtualFinish += work.cost / flow.weight;
      return work;
    },
    evict() {
      const mostBacklogged = backlogged().reduce<Flow<T> | undefined>((most, flow) => (
        !most || flow.backlog / flow.weight > most.backlog / most.weight ? flow : most
      ), undefined);
      return mostBacklogged && removeAt(mostBacklogged, mostBacklogged.waiting.length - 1);
    },
    take,
    remove: (predicate) => backlogged()
      .flatMap(({ waiting }) => waiting.filter(predicate))
      .filter(take),
    adjustUsage({ org }, costDifference) {
      const flow = flows.get(org);
      if (flow) flow.virtualFinish += costDifference / flow.weight;
    },
    costAhead({ org }, weight, cost) {
      const own = flows.get(org);
      const backloggedWeight = backlogged().reduce((sum, flow) => sum + flow.weight, 0);
      const otherWeight = backloggedWeight - (own && own.waiting.length > 0 ? weight : 0);
      return ((own?.backlog ?? 0) + cost) * ((otherWeight + weight) / weight);
    },
  };
}
