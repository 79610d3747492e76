/** The stand-in engine's batching in virtual time, with the same cost of each iteration. */
import type { Clock, FleetTarget } from '@verbenashunt/core';
import { iterationMs, type PendingOp } from '../../engine/batcher.js';

export interface ModelEngine {
  add(pending: PendingOp): void;
  /** Drops all operations; further ones are ignored until `restart`. */
  kill(): void;
  restart(): void;
  /** Sets the factor on the time of further iterations; 1 is normal. */
  slow(slowdown: number): void;
  readonly alive: boolean;
  readonly queued: number;
  /** Total duration of the iterations in milliseconds. */
  readonly busyMs: number;
}

export function createModelEngine(target: FleetTarget, clock: Clock): ModelEngine {
  let queue: PendingOp[] = [];
  let running = false;
  let alive = true;
  /** Number of kills; an iteration that began before a kill completes nothing. */
  let incarnation = 0;
  let slowdown = 1;
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
      layerMsPerToken: target.layerMs * slowdown,
      layerMsPerPrefillToken: target.prefillMs * slowdown,
      batchShare: target.batchShare,
      maxBatch: target.maxBatch,
    });
    busyMs += ms;
    const startIncarnation = incarnation;
    clock.after(ms, () => {
      if (incarnation !== startIncarnation) return;
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
      incarnation += 1;
      queue = [];
    },
    restart() {
      alive = true;
    },
    slow(value) {
      slowdown = value;
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
