/**
 * Writes the usage records of an entry to the object store in batches. A batch keeps its key and
 * content over all attempts, so that a write can safely be retried when its response was lost.
 */
import type { Clock } from '@verbenashunt/core';
import type { UsageBatch, UsageRecord } from '@verbenashunt/schema';

/**
 * Milliseconds between batches. A crash loses at most the records of this period and of the write
 * in progress.
 */
const flushMs = 10_000;
const retryMs = 1000;
const maxBatchRecords = 10_000;

/** Records kept in memory during an outage of the object store, about 20 MB; others are dropped. */
const maxHeldRecords = 100_000;

export interface UsageLog {
  /** Number of records that are not yet known to be stored. */
  readonly held: number;
  add(record: UsageRecord): void;
  /** Writes all records that are held; resolves to whether they were stored within the timeout. */
  close(timeoutMs: number): Promise<boolean>;
}

export interface UsageLogDeps {
  clock: Clock;
  node: string;
  incarnation: number;
  putObject(key: string, body: string): Promise<void>;
  /** A record was dropped because too many are held. */
  onDropped(): void;
  onWritten(records: number): void;
}

/** Object key of a batch, which identifies the process and the batch's place in its sequence. */
export const usageBatchKey = ({ node, incarnation, sequence }: Omit<UsageBatch, 'records'>) => (
  `usage/${node}/${incarnation}/${sequence}`);

export function createUsageLog(deps: UsageLogDeps): UsageLog {
  const { clock, node, incarnation } = deps;
  const pending: UsageRecord[] = [];
  let currentBatch: UsageBatch | undefined;
  let sequence = 0;
  let storing: Promise<boolean> | undefined;
  let cancelTimer = () => {};

  const held = () => pending.length + (currentBatch?.records.length ?? 0);

  /** Returns the batch to write: the one that is not stored yet, or a new one. */
  function nextBatch(): UsageBatch | undefined {
    if (!currentBatch && pending.length > 0) {
      currentBatch = {
        node, incarnation, sequence, records: pending.splice(0, maxBatchRecords),
      };
      sequence += 1;
    }
    return currentBatch;
  }

  /** Writes the batch; resolves to whether it is known to be stored. */
  async function storeBatch(batch: UsageBatch): Promise<boolean> {
    try {
      await deps.putObject(usageBatchKey(batch), JSON.stringify(batch));
    } catch {
      // The batch may have been stored, so the same batch is written again.
      return false;
    }
    currentBatch = undefined;
    deps.onWritten(batch.records.length);
    return true;
  }

  function storeNextBatch(): Promise<boolean> {
    const batch = nextBatch();
    if (!batch) return Promise.resolve(true);
    storing ??= storeBatch(batch).finally(() => {
      storing = undefined;
    });
    return storing;
  }

  async function flush() {
    const stored = await storeNextBatch();
    const soon = !stored || pending.length >= maxBatchRecords;
    cancelTimer = clock.after(soon ? retryMs : flushMs, flush);
  }

  async function flushAll(deadline: number): Promise<boolean> {
    const stored = await storeNextBatch();
    if (stored && held() === 0) return true;
    if (clock.now() >= deadline) return false;
    if (!stored) {
      await new Promise<void>((resolve) => {
        clock.after(Math.min(retryMs, deadline - clock.now()), resolve);
      });
    }
    return flushAll(deadline);
  }

  cancelTimer = clock.after(flushMs, flush);
  return {
    get held() {
      return held();
    },
    add(record) {
      if (held() >= maxHeldRecords) deps.onDropped();
      else pending.push(record);
    },
    close(timeoutMs) {
      cancelTimer();
      return flushAll(clock.now() + timeoutMs);
    },
  };
}
