/**
 * Weighted fair queue over organisations (start-time fair queueing, Goyal, Vin and Cheng 1996).
 * Within an organisation, work is ordered by descending priority, then by ascending deadline.
 */

export interface QueuedWork {
  org: string;
  priority: number;
  /** Milliseconds on the caller's clock. */
  deadline: number;
  /** Expected cost, in any unit that all work shares. */
  cost: number;
}

interface Flow<T> {
  weight: number;
  /** Virtual finish time of the work started last; the lowest one is served first. */
  virtualFinish: number;
  waiting: T[];
  /** Sum of the costs of the waiting work. */
  backlog: number;
}

export interface FairQueue<T extends QueuedWork> {
  readonly size: number;
  /** Sum of the costs of an organisation's queued work. */
  backlogOf(org: string): number;
  sizeOf(org: string): number;
  /** Sum of the weights of all organisations with queued work. */
  readonly backloggedWeight: number;
  push(work: T, weight: number): void;
  /**
   * Removes and returns the next work in fair order. An organisation whose first work cannot start
   * is skipped. Returns undefined when nothing can start.
   */
  pop(canStart: (work: T) => boolean): T | undefined;
  /**
   * Removes and returns the last work of the organisation with the largest backlog relative to its
   * weight, to be refused.
   */
  evict(): T | undefined;
  /** Removes and returns all work that matches the predicate. */
  remove(predicate: (work: T) => boolean): T[];
  /** Adds the actual minus the expected cost of started work to the organisation's usage. */
  adjustUsage(org: string, costDifference: number): void;
}

const compareWork = (a: QueuedWork, b: QueuedWork) => b.priority - a.priority
  || a.deadline - b.deadline;

export function createFairQueue<T extends QueuedWork>(): FairQueue<T> {
  const flows = new Map<string, Flow<T>>();
  let virtualTime = 0;
  let size = 0;

  const backlogged = () => [...flows.values()].filter(({ waiting }) => waiting.length > 0);

  function removeAt(flow: Flow<T>, index: number): T {
    const [work] = flow.waiting.splice(index, 1) as [T];
    Object.assign(flow, { backlog: flow.backlog - work.cost });
    size -= 1;
    return work;
  }

  function getOrCreateFlow(org: string, weight: number): Flow<T> {
    const flow = flows.get(org) ?? {
      weight, virtualFinish: virtualTime, waiting: [], backlog: 0,
    };
    flows.set(org, flow);
    return flow;
  }

  return {
    get size() {
      return size;
    },
    backlogOf: (org) => flows.get(org)?.backlog ?? 0,
    sizeOf: (org) => flows.get(org)?.waiting.length ?? 0,
    get backloggedWeight() {
      return backlogged().reduce((sum, { weight }) => sum + weight, 0);
    },
    push(work, weight) {
      const flow = getOrCreateFlow(work.org, weight);
      flow.weight = weight;
      if (flow.waiting.length === 0) flow.virtualFinish = Math.max(flow.virtualFinish, virtualTime);
      const index = flow.waiting.findIndex((other) => compareWork(work, other) < 0);
      flow.waiting.splice(index === -1 ? flow.waiting.length : index, 0, work);
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
    remove(predicate) {
      return backlogged().flatMap((flow) => flow.waiting.filter(predicate)
        .map((work) => removeAt(flow, flow.waiting.indexOf(work))));
    },
    adjustUsage(org, costDifference) {
      const flow = flows.get(org);
      if (flow) flow.virtualFinish += costDifference / flow.weight;
    },
  };
}
