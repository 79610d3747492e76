/** Rows by which entries know of each other: that they exist, and when one that stops is back. */
import type { StoredRow } from '../ports.js';

/** What an entry says of itself. */
export interface EntryRecord {
  node: string;
  /** When it serves again, on the store's clock in milliseconds; undefined unless it stops. */
  backAt: number | undefined;
}

const keyPrefix = 'entry.';

export const entryKey = (node: string) => `${keyPrefix}${node}`;

/** Time after the end of the grace time at which a process that was stopped serves again. */
const restartTimeMs = 500;

/** When an entry that stops now, at the store's time `now`, is back. */
export const expectedBackAt = (now: number, graceMs: number) => now + graceMs + restartTimeMs;

function parseBackAt(value: Buffer): number | undefined {
  const { backAt } = JSON.parse(value.toString()) as Partial<Record<'backAt', unknown>>;
  return typeof backAt === 'number' ? backAt : undefined;
}

/**
 * The entries among the rows of the table. One whose row can't be read exists all the same;
 * `onFault` is told of it.
 */
export function decodeEntries(
  rows: readonly StoredRow[],
  onInvalidRow: (key: string, err: unknown) => void,
): EntryRecord[] {
  return rows.filter(({ key }) => key.startsWith(keyPrefix)).flatMap(({ key, value }) => {
    if (value === undefined) return [];
    const node = key.slice(keyPrefix.length);
    try {
      return [{ node, backAt: parseBackAt(value) }];
    } catch (err) {
      onInvalidRow(key, err);
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
