/** The stand-in engine's batching in virtual time; iterations cost what the process's do. */
import type { Clock, FleetTarget } from '@verbenashunt/core';
import { iterationMs, type PendingOp } from '../../engine/batcher.js';

export interface ModelEngine {
  add(pending: PendingOp): void;
  /** Loses all that it holds and runs nothing until restarted. */
  kill(): void;
  restart(): void;
  slow(factor: number): void;
  readonly alive: boolean;
  readonly queued: number;
  /** Milliseconds spent in iterations. */
  readonly busyMs: number;
}

export function createModelEngine(target: FleetTarget, clock: Clock): ModelEngine {
  let queue: PendingOp[] = [];
  let running = false;
  let alive = true;
  let epoch = 0;
  let factor = 1;
  let busyMs = 0;

  function iterate() {
    if (queue.length === 0 || !alive) {
      running = false;
      return;
    }
    running = true;
    queue.sort((a, b) => (b.op.priority ?? 0) - (a.op.priority ?? 0));
    const batch = queue.slice(0, target.maxBatch);
    queue = queue.slice(target.maxBatch);
    const ms = iterationMs(batch, {
      layerMsPerToken: target.layerMs * factor,
      layerMsPerPrefillToken: target.prefillMs * factor,
      batchShare: target.batchShare,
      maxBatch: target.maxBatch,
    });
    busyMs += ms;
    const started = epoch;
    clock.after(ms, () => {
      if (epoch !== started) return;
      batch.forEach(({ done }) => done());
      iterate();
    });
  }

  return {
    add(pending) {
      if (!alive) return;
      queue.push(pending);
      if (running) return;
      running = true;
      clock.after(0, iterate);
    },
    kill() {
      alive = false;
      running = false;
      epoch += 1;
      queue = [];
    },
    restart() {
      alive = true;
    },
    slow(value) {
      factor = value;
    },
    get alive() {
      return alive;
    },
    get queued() {
      return queue.length;
    },
    get busyMs() {
      return busyMs;
    },
  };
}
