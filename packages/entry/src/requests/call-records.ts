/** Records of calls that may not be repeated, in the platform's table service. */
import { PlatformError, sha256, type VersionedRecord } from '@verbenashunt/core';
import { validators, type CallRecord } from '@verbenashunt/schema';
import type { PlatformClient } from '@verbenashunt/wire';

const table = 'calls';

export interface CallRecords {
  /** Reads the record of a key; PlatformError when it cannot be read. */
  read(org: string, key: string): Promise<VersionedRecord | undefined>;
  /**
   * Replaces the record at a version; 0 inserts. ConflictError: another version is there;
   * PlatformError: the outcome is unknown.
   */
  write(org: string, key: string, version: number, record: CallRecord): Promise<void>;
}

function parse(value: string): CallRecord {
  const record: unknown = JSON.parse(value);
  if (validators.callRecord(record)) return record;
  throw new PlatformError('the record of a call does not match its schema');
}

export function createCallRecords(platform: PlatformClient): CallRecords {
  /** Keys are the callers' own text; their hash has a known length and alphabet. */
  const rowOf = (org: string, key: string) => `${org}/${sha256(key)}`;
  return {
    async read(org, key) {
      const row = await platform.get(table, rowOf(org, key));
      return row && { record: parse(row.value), version: row.version };
    },
    async write(org, key, version, record) {
      const row = rowOf(org, key);
      await platform.transact({
        conditions: [{ table, key: row, version }],
        puts: [{ table, key: row, value: JSON.stringify(record) }],
      });
    },
  };
}
