/** Decodes rows of the store that others write, and ignores those that are not valid. */
import type { Logger } from 'pino';
import { errorFields } from '@verbenashunt/core';
import type { StoredRow } from '../ports.js';

export interface RowDecoderDeps {
  log: Logger;
  /** Counts a row of a table that is ignored. */
  rowNotUnderstood(table: string): void;
}

/** Returns a decoder that logs, counts and leaves out the rows for which `decode` throws. */
export const createRowDecoder = <T>(
  table: string,
  decode: (row: StoredRow) => T | undefined,
  { log, rowNotUnderstood }: RowDecoderDeps,
) => (row: StoredRow): T | undefined => {
  try {
    return decode(row);
  } catch (err) {
    rowNotUnderstood(table);
    log.warn({
      table, key: row.key, rowVersion: row.version, ...errorFields(err),
    }, 'row not understood');
    return undefined;
  }
};
