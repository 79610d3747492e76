/** Operations that the engine has not answered; they are sent again when its stream is resumed. */
import type { EngineOp, EngineOut } from '@verbenashunt/schema';

export interface PendingOps {
  /** Adds an operation; a cancel removes those of its sequence instead. */
  add(op: EngineOp): void;
  /** Removes the operation that an output answers, or all of its sequence if it failed. */
  removeAnswered(out: EngineOut): void;
  /** All pending operations; those of one sequence are in the order in which they were added. */
  list(): EngineOp[];
  clear(): void;
}

export function createPendingOps(): PendingOps {
  const bySequence = new Map<string, EngineOp[]>();
  return {
    add(op) {
      if (op.op === 'cancel') bySequence.delete(op.seq);
      else bySequence.set(op.seq, [...bySequence.get(op.seq) ?? [], op]);
    },
    removeAnswered({ seq, pos, error }) {
      const remaining = error ? [] : (bySequence.get(seq) ?? []).filter((op) => op.pos !== pos);
      if (remaining.length > 0) bySequence.set(seq, remaining);
      else bySequence.delete(seq);
    },
    list: () => [...bySequence.values()].flat(),
    clear: () => bySequence.clear(),
  };
}
