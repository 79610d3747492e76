/** Stores the records of non-idempotent calls in the platform's table service. */
import { PlatformError, sha256, type VersionedRecord } from '@verbenashunt/core';
import { validators, type CallRecord } from '@verbenashunt/schema';
import type { PlatformClient } from '@verbenashunt/wire';

const table = 'calls';

export interface CallRecords {
  /** Reads the record of an idempotency key; throws PlatformError if it can't be read. */
  read(org: string, key: string): Promise<VersionedRecord | undefined>;
  /**
   * Replaces the given version of the record; version 0 inserts it. Throws ConflictError if the
   * stored version differs, and PlatformError if the outcome of the write is unknown.
   */
  write(org: string, key: string, version: number, record: CallRecord): Promise<void>;
}

function parse(value: string): CallRecord {
  const record: unknown = JSON.parse(value);
  if (validators.callRecord(record)) return record;
  throw new PlatformError('call record does not match its schema');
}

export function createCallRecords(platform: PlatformClient): CallRecords {
  /** Hashes the key: callers may send any text, and the hash bounds its length and alphabet. */
  const rowKeyOf = (org: string, key: string) => `${org}/${sha256(key)}`;
  return {
    async read(org, key) {
      const row = await platform.get(table, rowKeyOf(org, key));
      return row && { record: parse(row.value), version: row.version };
    },
    async write(org, key, version, record) {
      const row = rowKeyOf(org, key);
      await platform.transact({
        conditions: [{ table, key: row, version }],
        puts: [{ table, key: row, value: JSON.stringify(record) }],
      });
    },
  };
}
