/** Reduces changes of a table to the newest one of each row. */
import type { StoredRow } from '../ports.js';

/** Returns the last of the rows with each key, in their order. */
export function newestRows(rows: readonly StoredRow[]): StoredRow[] {
  const newest = new Map(rows.map((row) => [row.key, row]));
  return rows.filter((row) => newest.get(row.key) === row);
}
