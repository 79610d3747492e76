/** A sequence that keeps its newest items and knows the index of the first one kept. */

export interface Tail<T> {
  /** Index of the first item kept. */
  readonly from: number;
  /** Index after the last item. */
  readonly end: number;
  push(...items: T[]): void;
  /** Items from an index on; the index must be kept. */
  slice(index: number, end?: number): T[];
  /** Lets go of all items; their indexes stay used. */
  clear(): void;
}

/** Creates a tail of at most `limit` items; it trims in halves, so that a push is cheap. */
export function createTail<T>(limit: number): Tail<T> {
  let from = 0;
  let items: T[] = [];
  return {
    get from() {
      return from;
    },
    get end() {
      return from + items.length;
    },
    push(...added) {
      added.forEach((item) => items.push(item));
      if (items.length <= limit) return;
      const dropped = Math.max(items.length - limit, Math.floor(limit / 2));
      items = items.slice(dropped);
      from += dropped;
    },
    slice: (index, end = from + items.length) => items.slice(index - from, end - from),
    clear() {
      from += items.length;
      items = [];
    },
  };
}
