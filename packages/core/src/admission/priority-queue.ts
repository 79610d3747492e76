/**
 * Queue with one level for each priority: the highest priority is served first, and organisations
 * share a level fairly. Each waiting level gets a minimum share of the started cost, so that none
 * starves.
 */
import { createFairQueue, type FairQueue } from './fair-queue.js';
import type { QueuedWork, WorkQueue } from './work-queue.js';

export interface PriorityQueueOptions {
  /** Minimum share, from 0 to 1, of the started cost for each level with waiting work. */
  floor: number;
  /** Maximum number of waiting work items; each level keeps its minimum share of them. */
  maxQueue: number;
}

export interface PriorityQueue<T extends QueuedWork> extends WorkQueue<T> {
  /** Number of waiting work items of each priority that was ever queued. */
  countByPriority(): ReadonlyMap<number, number>;
}

interface Level<T extends QueuedWork> {
  priority: number;
  queue: FairQueue<T>;
  /** Cost of the level's minimum share that has not been started yet. */
  owed: number;
  /** Position in the order in which levels became due; undefined while it is not due. */
  dueSince: number | undefined;
}

/** Largest minimum share that a level accumulates, in mean costs of its work. */
const maxOwedItems = 2;

export function createPriorityQueue<T extends QueuedWork>(
  { floor, maxQueue }: PriorityQueueOptions,
): PriorityQueue<T> {
  /** Sorted by descending priority. */
  let levels: Level<T>[] = [];
  let dueCount = 0;

  const waitingLevels = () => levels.filter(({ queue }) => queue.size > 0);
  const levelOf = (priority: number) => levels.find((level) => level.priority === priority);

  function getOrCreateLevel(priority: number): Level<T> {
    const known = levelOf(priority);
    if (known) return known;
    const level: Level<T> = {
      priority, queue: createFairQueue<T>(), owed: 0, dueSince: undefined,
    };
    levels = [...levels, level].sort((a, b) => b.priority - a.priority);
    return level;
  }

  const meanCostOf = ({ queue }: Level<T>) => queue.backlog / queue.size;

  function updateDue(level: Level<T>) {
    const isDue = level.queue.size > 0 && level.owed > 0 && level.owed >= meanCostOf(level);
    if (isDue && level.dueSince === undefined) {
      dueCount += 1;
      Object.assign(level, { dueSince: dueCount });
    }
    if (!isDue) Object.assign(level, { dueSince: undefined });
  }

  /** Distributes the cost of started work: its level pays, the other waiting levels are owed. */
  function charge(served: Level<T>, cost: number, waiting: readonly Level<T>[]) {
    const share = Math.min(floor, 1 / waiting.length);
    Object.assign(served, { owed: Math.max(0, served.owed - cost) });
    waiting.filter((level) => level.queue.size > 0).forEach((level) => {
      const most = Math.max(level.owed, maxOwedItems * meanCostOf(level));
      Object.assign(level, { owed: Math.min(most, level.owed + share * cost) });
    });
    waiting.forEach(updateDue);
  }

  /** Waiting levels in the order in which they are served: due ones first, then by priority. */
  function inOrder(waiting: readonly Level<T>[]): Level<T>[] {
    const due = waiting.filter(({ dueSince }) => dueSince !== undefined)
      .sort((a, b) => a.dueSince! - b.dueSince!);
    return [...due, ...waiting.filter(({ dueSince }) => dueSince === undefined)];
  }

  return {
    get size() {
      return levels.reduce((sum, { queue }) => sum + queue.size, 0);
    },
    countByPriority: () => new Map(levels.map(({ priority, queue }) => [priority, queue.size])),
    push: (work, weight) => getOrCreateLevel(work.priority).queue.push(work, weight),
    pop(canStart) {
      const waiting = waitingLevels();
      waiting.forEach(updateDue);
      let work: T | undefined;
      const served = inOrder(waiting).find(({ queue }) => {
        work = queue.pop(canStart);
        return work !== undefined;
      });
      if (served) charge(served, work!.cost, waiting);
      return work;
    },
    /**
     * Evicts from the least urgent level that has more than its minimum share of the places, but
     * never from one above the incoming work.
     */
    evict({ priority }) {
      const evictable = waitingLevels().filter((level) => level.priority <= priority).reverse();
      const isOverShare = ({ queue }: Level<T>) => queue.size > floor * maxQueue;
      return (evictable.find(isOverShare) ?? evictable[0])?.queue.evict();
    },
    take: (work) => levelOf(work.priority)?.queue.take(work) ?? false,
    remove: (predicate) => waitingLevels().flatMap(({ queue }) => queue.remove(predicate)),
    adjustUsage: (work, difference) => levelOf(work.priority)?.queue.adjustUsage(work, difference),
    costAhead(work, weight, cost) {
      const own = levelOf(work.priority)?.queue;
      const inLevel = Math.min(
        own?.costAhead(work, weight, cost) ?? cost,
        (own?.backlog ?? 0) + cost,
      );
      const above = waitingLevels().filter(({ priority }) => priority > work.priority)
        .reduce((sum, { queue }) => sum + queue.backlog, 0);
      const byFloor = floor > 0 ? inLevel / floor : Infinity;
      return Math.min(above + inLevel, byFloor);
    },
  };
}
