/**
 * Weighted fair queue over organisations (start-time fair queueing, Goyal, Vin and Cheng 1996).
 * Within an organisation the higher priority goes first, then the earlier deadline.
 */

export interface QueuedWork {
  org: string;
  priority: number;
  /** Milliseconds on the clock that is passed in. */
  deadline: number;
  /** Expected work; any unit, the same for all. */
  cost: number;
}

interface Flow<T> {
  weight: number;
  /** Virtual time up to which the organisation has had its share. */
  finish: number;
  waiting: T[];
  backlog: number;
}

export interface FairQueue<T extends QueuedWork> {
  readonly size: number;
  /** Sum of the costs that an organisation has waiting. */
  backlogOf(org: string): number;
  sizeOf(org: string): number;
  /** Organisations with work waiting and their weights. */
  readonly backloggedWeight: number;
  push(work: T, weight: number): void;
  /** Takes the first work in fair order that can start now. */
  pop(canStart: (work: T) => boolean): T | undefined;
  /** Takes work that is to be refused: the last of the organisation furthest over its share. */
  evict(): T | undefined;
  /** Takes out all that the check names. */
  remove(check: (work: T) => boolean): T[];
  /** Corrects an organisation's share when work cost another amount than expected. */
  settle(org: string, difference: number): void;
}

const before = (a: QueuedWork, b: QueuedWork) => b.priority - a.priority
  || a.deadline - b.deadline;

export function createFairQueue<T extends QueuedWork>(): FairQueue<T> {
  const flows = new Map<string, Flow<T>>();
  let virtual = 0;
  let size = 0;

  const backlogged = () => [...flows.values()].filter(({ waiting }) => waiting.length > 0);

  function take(flow: Flow<T>, index: number): T {
    const [work] = flow.waiting.splice(index, 1) as [T];
    Object.assign(flow, { backlog: flow.backlog - work.cost });
    size -= 1;
    return work;
  }

  function flowOf(org: string, weight: number): Flow<T> {
    const flow = flows.get(org) ?? {
      weight, finish: virtual, waiting: [], backlog: 0,
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
      const flow = flowOf(work.org, weight);
      flow.weight = weight;
      if (flow.waiting.length === 0) flow.finish = Math.max(flow.finish, virtual);
      const place = flow.waiting.findIndex((other) => before(work, other) < 0);
      flow.waiting.splice(place === -1 ? flow.waiting.length : place, 0, work);
      flow.backlog += work.cost;
      size += 1;
    },
    pop(canStart) {
      const inOrder = backlogged().sort((a, b) => a.finish - b.finish);
      const flow = inOrder.find(({ waiting }) => canStart(waiting[0]!));
      if (!flow) return undefined;
      virtual = Math.max(virtual, flow.finish);
      const work = take(flow, 0);
      flow.finish += work.cost / flow.weight;
      return work;
    },
    evict() {
      const longest = backlogged().reduce<Flow<T> | undefined>((most, flow) => (
        !most || flow.backlog / flow.weight > most.backlog / most.weight ? flow : most
      ), undefined);
      return longest && take(longest, longest.waiting.length - 1);
    },
    remove(check) {
      return backlogged().flatMap((flow) => flow.waiting.filter(check)
        .map((work) => take(flow, flow.waiting.indexOf(work))));
    },
    settle(org, difference) {
      const flow = flows.get(org);
      if (flow) flow.finish += difference / flow.weight;
    },
  };
}
