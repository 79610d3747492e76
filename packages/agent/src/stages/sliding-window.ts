/** An append-only list that drops its oldest items; indexes of the others do not change. */

export interface SlidingWindow<T> {
  /** Index of the first item kept. */
  readonly start: number;
  /** Index after the last item. */
  readonly end: number;
  push(...items: T[]): void;
  /** Returns items from an index on, which must not be before `start`. */
  slice(index: number, end?: number): T[];
  /** Drops all items; the next one continues their indexes. */
  clear(): void;
}

/**
 * Creates a window of at most `limit` items. It drops at least half of the limit at a time, so that
 * the amortized cost of a push is constant.
 */
export function createSlidingWindow<T>(limit: number): SlidingWindow<T> {
  let start = 0;
  let items: T[] = [];
  return {
    get start() {
      return start;
    },
    get end() {
      return start + items.length;
    },
    push(...added) {
      added.forEach((item) => items.push(item));
      if (items.length <= limit) return;
      const dropped = Math.max(items.length - limit, Math.floor(limit / 2));
      items = items.slice(dropped);
      start += dropped;
    },
    slice: (index, end = start + items.length) => items.slice(index - start, end - start),
    clear() {
      start += items.length;
      items = [];
    },
  };
}
