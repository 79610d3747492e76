/**
 * Usage records of an entry, written to the object store in batches. A batch keeps its key and its
 * content from the first try on, so a write whose answer was lost is repeated without harm.
 */
import type { Clock } from '@verbenashunt/core';
import type { UsageBatch, UsageRecord } from '@verbenashunt/schema';

/** Time between batches in milliseconds; a crash loses at most this and the write under way. */
const flushMs = 10_000;
const retryMs = 1000;
const maxBatchRecords = 10_000;

/** Records held while the object store is out, about 20 MB; further ones are dropped. */
const maxHeldRecords = 100_000;

export interface UsageLog {
  /** Records not yet known to be stored. */
  readonly held: number;
  add(record: UsageRecord): void;
  /** Writes what is held; resolves to whether all of it was stored in time. */
  close(timeoutMs: number): Promise<boolean>;
}

export interface UsageLogDeps {
  clock: Clock;
  node: string;
  incarnation: number;
  putObject(key: string, body: string): Promise<void>;
  /** A record was dropped, since too many are held. */
  onDropped(): void;
  onWritten(records: number): void;
}

/** Key of a batch; it names the process and the place of the batch in its sequence. */
export const usageKey = ({ node, incarnation, sequence }: Omit<UsageBatch, 'records'>) => (
  `usage/${node}/${incarnation}/${sequence}`);

export function createUsageLog(deps: UsageLogDeps): UsageLog {
  const { clock, node, incarnation } = deps;
  const waiting: UsageRecord[] = [];
  let batch: UsageBatch | undefined;
  let sequence = 0;
  let writing: Promise<boolean> | undefined;
  let cancelTimer = () => {};

  const held = () => waiting.length + (batch?.records.length ?? 0);

  function seal(): UsageBatch | undefined {
    if (!batch && waiting.length > 0) {
      batch = {
        node, incarnation, sequence, records: waiting.splice(0, maxBatchRecords),
      };
      sequence += 1;
    }
    return batch;
  }

  /** Writes one batch; resolves to whether it is stored. */
  async function writeOne(sealed: UsageBatch): Promise<boolean> {
    try {
      await deps.putObject(usageKey(sealed), JSON.stringify(sealed));
    } catch {
      // The outcome is unknown: the same batch is written again.
      return false;
    }
    batch = undefined;
    deps.onWritten(sealed.records.length);
    return true;
  }

  function write(): Promise<boolean> {
    const sealed = seal();
    if (!sealed) return Promise.resolve(true);
    writing ??= writeOne(sealed).finally(() => {
      writing = undefined;
    });
    return writing;
  }

  async function run() {
    const stored = await write();
    const soon = !stored || waiting.length >= maxBatchRecords;
    cancelTimer = clock.after(soon ? retryMs : flushMs, run);
  }

  async function drain(deadline: number): Promise<boolean> {
    const stored = await write();
    if (stored && held() === 0) return true;
    if (clock.now() >= deadline) return false;
    if (!stored) {
      await new Promise<void>((resolve) => {
        clock.after(Math.min(retryMs, deadline - clock.now()), resolve);
      });
    }
    return drain(deadline);
  }

  cancelTimer = clock.after(flushMs, run);
  return {
    get held() {
      return held();
    },
    add(record) {
      if (held() >= maxHeldRecords) deps.onDropped();
      else waiting.push(record);
    },
    close(timeoutMs) {
      cancelTimer();
      return drain(clock.now() + timeoutMs);
    },
  };
}
