/** Continuous batching: each iteration runs pending operations by priority, up to a limit. */
import type { EngineOp } from '@verbenashunt/schema';

export interface BatchTiming {
  layerMsPerToken: number;
  layerMsPerPrefillToken: number;
  /** Fraction of a decode's time that each further decode in the batch adds. */
  batchShare: number;
  /** Maximum number of operations per iteration. */
  maxBatch: number;
}

export interface PendingOp {
  op: EngineOp;
  /** Prompt tokens that the prefix cache holds, so that they cost no time. */
  cachedTokens: number;
  done(): void;
}

const tokenCount = ({ op }: PendingOp) => op.tokens?.length ?? op.hidden?.length ?? 1;
const layerCount = ({ op }: PendingOp) => (op.hi ?? 1) - (op.lo ?? 0);

/** Returns the simulated duration of one iteration. */
export function iterationMs(batch: readonly PendingOp[], timing: BatchTiming): number {
  const decodes = batch.filter((p) => tokenCount(p) === 1);
  const decodeLayers = Math.max(0, ...decodes.map(layerCount));
  const batchFactor = 1 + timing.batchShare * Math.max(0, decodes.length - 1);
  const prefill = batch.filter((p) => tokenCount(p) > 1)
    .map((p) => Math.max(1, tokenCount(p) - p.cachedTokens) * layerCount(p))
    .reduce((sum, n) => sum + n, 0);
  return decodeLayers * timing.layerMsPerToken * batchFactor
    + prefill * timing.layerMsPerPrefillToken;
}

export interface Batcher {
  add(pending: PendingOp): void;
  cancel(seq: string): void;
  readonly queued: number;
  readonly active: number;
}

export function createBatcher(timing: () => BatchTiming, isFrozen: () => boolean): Batcher {
  let queue: PendingOp[] = [];
  let active = 0;
  let running = false;

  function runIteration() {
    if (queue.length === 0 || isFrozen()) {
      running = false;
      return;
    }
    const { maxBatch } = timing();
    queue.sort((a, b) => (b.op.priority ?? 0) - (a.op.priority ?? 0));
    const batch = queue.slice(0, maxBatch);
    queue = queue.slice(maxBatch);
    active = batch.length;
    const finish = () => {
      active = 0;
      batch.forEach(({ done }) => done());
      runIteration();
    };
    const ms = iterationMs(batch, timing());
    if (ms < 0.5) setImmediate(finish);
    else setTimeout(finish, ms);
  }

  return {
    add(pending) {
      queue.push(pending);
      if (running) return;
      running = true;
      setImmediate(runIteration);
    },
    cancel(seq) {
      queue = queue.filter(({ op }) => op.seq !== seq);
    },
    get queued() {
      return queue.length;
    },
    get active() {
      return active;
    },
  };
}
