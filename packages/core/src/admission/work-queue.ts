/** Interface of the queues that admission can order waiting work with. */

export interface QueuedWork {
  org: string;
  priority: number;
  /** Milliseconds on the caller's clock. */
  deadline: number;
  /** Expected cost, in any unit that all work shares. */
  cost: number;
}

export interface WorkQueue<T extends QueuedWork> {
  readonly size: number;
  push(work: T, weight: number): void;
  /**
   * Removes and returns the next work in order. An organisation whose first work cannot start is
   * skipped. Returns undefined when nothing can start.
   */
  pop(canStart: (work: T) => boolean): T | undefined;
  /** Removes and returns the work that is to be refused so that `incoming`, now queued, fits. */
  evict(incoming: T): T | undefined;
  /** Removes work; returns false when it was not queued. */
  take(work: T): boolean;
  /** Removes and returns all work that matches the predicate. */
  remove(predicate: (work: T) => boolean): T[];
  /** Adds the actual minus the expected cost of started work to its organisation's usage. */
  adjustUsage(work: T, costDifference: number): void;
  /**
   * Cost that is expected to start until all queued work of this organisation and priority and an
   * additional `cost` have started.
   */
  costAhead(work: Pick<T, 'org' | 'priority'>, weight: number, cost: number): number;
}
