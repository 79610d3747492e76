/** Rows by which entries know of each other: that they exist, and when one that stops is back. */
import type { StoredRow } from '../ports.js';

/** What an entry says of itself. */
export interface EntryRecord {
  node: string;
  /** When it serves again, on the store's clock in milliseconds; undefined unless it stops. */
  backAt: number | undefined;
}

const prefix = 'entry.';

export const entryKey = (node: string) => `${prefix}${node}`;

/** Time after the end of the grace time at which a process that was stopped serves again. */
const restartMs = 500;

/** When an entry that stops now, at the store's time `now`, is back. */
export const backAfter = (now: number, graceMs: number) => now + graceMs + restartMs;

function backAtOf(value: Buffer): number | undefined {
  const { backAt } = JSON.parse(value.toString()) as Partial<Record<'backAt', unknown>>;
  return typeof backAt === 'number' ? backAt : undefined;
}

/**
 * The entries among the rows of the table. One whose row can't be read exists all the same;
 * `onFault` is told of it.
 */
export function entriesIn(
  rows: readonly StoredRow[],
  onFault: (key: string, err: unknown) => void,
): EntryRecord[] {
  return rows.filter(({ key }) => key.startsWith(prefix)).flatMap(({ key, value }) => {
    if (value === undefined) return [];
    const node = key.slice(prefix.length);
    try {
      return [{ node, backAt: backAtOf(value) }];
    } catch (err) {
      onFault(key, err);
      return [{ node, backAt: undefined }];
    }
  });
}

/** Milliseconds until another entry than `node` serves; 0 when one does. */
export function nextEntryMs(entries: readonly EntryRecord[], node: string, now: number): number {
  const waits = entries.filter((entry) => entry.node !== node)
    .map(({ backAt = now }) => Math.max(0, backAt - now));
  return waits.length > 0 ? Math.min(...waits) : Infinity;
}
