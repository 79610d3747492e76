/** Operations sent to an engine that it has not answered, kept to be sent again on a resume. */
import type { EngineOp, EngineOut } from '@verbenashunt/schema';

export interface PendingOps {
  sent(op: EngineOp): void;
  answered(out: EngineOut): void;
  /** All that wait, in the order in which they were sent. */
  list(): EngineOp[];
  clear(): void;
}

export function createPendingOps(): PendingOps {
  const bySequence = new Map<string, EngineOp[]>();
  return {
    sent(op) {
      if (op.op === 'cancel') bySequence.delete(op.seq);
      else bySequence.set(op.seq, [...bySequence.get(op.seq) ?? [], op]);
    },
    answered({ seq, pos, error }) {
      const left = error ? [] : (bySequence.get(seq) ?? []).filter((op) => op.pos !== pos);
      if (left.length > 0) bySequence.set(seq, left);
      else bySequence.delete(seq);
    },
    list: () => [...bySequence.values()].flat(),
    clear: () => bySequence.clear(),
  };
}
