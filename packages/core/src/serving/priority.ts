/** Priorities of requests, and the priorities that targets are told. */

/** Whole number from `lowestPriority` to `highestPriority`; higher values are served first. */
export type Priority = number;

export const lowestPriority: Priority = 0;
export const highestPriority: Priority = 9;
/** Priority of a route that states none. */
export const defaultPriority: Priority = 4;

/** Nearest valid priority. */
export const clampPriority = (value: number): Priority => Math
  .min(highestPriority, Math.max(lowestPriority, Math.round(value)));

/**
 * Priority that a target is told for a request; undefined to tell it none. `priorities` are those
 * of all requests to the service in descending order. Streams that are resumed for a caller who has
 * received a part rank above all others; the others keep their order below.
 */
export function targetPriorityOf(
  priority: Priority,
  priorities: readonly Priority[],
  isDelivered: boolean,
): Priority | undefined {
  if (isDelivered) return highestPriority;
  if (priorities.length <= 1) return undefined;
  const rank = priorities.filter((other) => other > priority).length;
  return Math.max(lowestPriority, Math.min(priority, highestPriority - 1 - rank));
}

/** Priority of a request; that of its organisation overrides that of its route. */
export const priorityOf = (
  route: { priority: Priority },
  organisation: { priority: Priority | undefined } | undefined,
): Priority => organisation?.priority ?? route.priority;
