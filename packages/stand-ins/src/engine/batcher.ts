/** Continuous batching: each iteration takes what waits, in order of priority, up to a limit. */
import type { EngineOp } from '@verbenashunt/schema';

export interface BatchTiming {
  layerMsPerToken: number;
  layerMsPerPrefillToken: number;
  /** Share of a decode's time that each further decode in the batch adds. */
  batchShare: number;
  /** Operations in one iteration at the most. */
  maxBatch: number;
}

export interface Pending {
  op: EngineOp;
  /** Prompt tokens that the prefix cache spares. */
  cached: number;
  done(): void;
}

const lengthOf = ({ op }: Pending) => op.tokens?.length ?? op.hidden?.length ?? 1;
const layersOf = ({ op }: Pending) => (op.hi ?? 1) - (op.lo ?? 0);

/** Milliseconds of one iteration over a batch. */
export function iterationMs(batch: readonly Pending[], timing: BatchTiming): number {
  const decodes = batch.filter((p) => lengthOf(p) === 1);
  const decodeLayers = Math.max(0, ...decodes.map(layersOf));
  const crowding = 1 + timing.batchShare * Math.max(0, decodes.length - 1);
  const prefill = batch.filter((p) => lengthOf(p) > 1)
    .map((p) => Math.max(1, lengthOf(p) - p.cached) * layersOf(p))
    .reduce((sum, n) => sum + n, 0);
  return decodeLayers * timing.layerMsPerToken * crowding + prefill * timing.layerMsPerPrefillToken;
}

export interface Batcher {
  add(pending: Pending): void;
  cancel(seq: string): void;
  readonly queued: number;
  readonly active: number;
}

export function createBatcher(timing: () => BatchTiming, frozen: () => boolean): Batcher {
  let queue: Pending[] = [];
  let active = 0;
  let running = false;

  function iterate() {
    if (queue.length === 0 || frozen()) {
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
      iterate();
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
      setImmediate(iterate);
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
