/** The configuration head in the table service: read, and moved by conditional write. */
import {
  canonicalJson, ConflictError, genesisHash, PlatformError, sha256,
} from '@verbenashunt/core';
import type { Declarations, RevisionRecord } from '@verbenashunt/schema';
import type { PlatformClient } from '@verbenashunt/wire';

const table = 'config';
const headKey = 'head';
const recordKey = (revision: number) => `revision/${String(revision).padStart(12, '0')}`;

export interface CommitRequest {
  operator: string;
  commandId: string;
  baseRevision: number;
  declarations: Declarations;
}

export interface ConfigStore {
  /** The record of the head as canonical JSON; undefined before the first commit. */
  readHead(): Promise<string | undefined>;
  /**
   * Commits a revision on top of its base. ConflictError when another one came first;
   * PlatformError when the outcome cannot be read back now.
   */
  commit(request: CommitRequest, wallMs: number): Promise<string>;
}

export function createConfigStore(platform: PlatformClient): ConfigStore {
  async function readHead() {
    return (await platform.get(table, headKey))?.value;
  }

  async function settle(text: string, revision: number): Promise<string> {
    const row = await platform.get(table, recordKey(revision));
    if (row?.value === text) return text;
    throw new ConflictError(`revision ${revision} was taken by another command`);
  }

  return {
    readHead,
    async commit(request, wallMs) {
      const previous = await readHead();
      const base = previous ? (JSON.parse(previous) as RevisionRecord).revision : 0;
      if (base !== request.baseRevision) {
        throw new ConflictError(`the head is revision ${base}, not ${request.baseRevision}`);
      }
      const record: RevisionRecord = {
        revision: base + 1,
        commandId: request.commandId,
        operator: request.operator,
        at: new Date(wallMs).toISOString(),
        previousHash: previous ? sha256(previous) : genesisHash,
        declarations: request.declarations,
      };
      const text = canonicalJson(record);
      try {
        await platform.transact({
          conditions: [
            { table, key: headKey, version: base },
            { table, key: recordKey(record.revision), version: 0 },
          ],
          puts: [
            { table, key: headKey, value: text },
            { table, key: recordKey(record.revision), value: text },
          ],
        });
        return text;
      } catch (err) {
        if (err instanceof PlatformError) return settle(text, record.revision);
        throw err;
      }
    },
  };
}
