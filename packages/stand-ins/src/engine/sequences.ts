/** Sequences that an engine holds, with their KV caches. */
import type { EngineOp, EngineOut, KvExport } from '@verbenashunt/schema';
import {
  applyLayer, decodeHidden, embed, encodeHidden, sample,
} from './model.js';

interface Sequence {
  kv: Uint32Array;
  model: string;
  lo: number;
  hi: number;
  /** Next position to run. */
  pos: number;
}

export interface LoadedRange {
  model: string;
  version: string;
  /** First layer of the range. */
  lo: number;
  /** End of the range, exclusive. */
  hi: number;
  /** Number of layers of the whole model. */
  layers: number;
}

export interface SequenceStore {
  /** Runs the sequence's layers at each position of an operation. */
  run(op: EngineOp): EngineOut;
  drop(seq: string): void;
  exportKv(seq: string): KvExport | undefined;
  importKv(kv: KvExport): void;
  /** Number of layer executions: each layer counts once per position. */
  readonly layerRuns: number;
  readonly size: number;
}

export function createSequenceStore(loaded: () => readonly LoadedRange[]): SequenceStore {
  const sequences = new Map<string, Sequence>();
  let layerRuns = 0;

  function openSequence(op: EngineOp): Sequence | undefined {
    const { model = '', lo = 0, hi = 0 } = op;
    const range = loaded().find((r) => r.model === model && r.lo <= lo && r.hi >= hi);
    if (!range || op.pos !== 0) return undefined;
    const sequence = {
      kv: new Uint32Array(hi - lo), model, lo, hi, pos: 0,
    };
    sequences.set(op.seq, sequence);
    return sequence;
  }

  function runPosition(sequence: Sequence, input: number): number {
    const { lo, hi, kv } = sequence;
    let hidden = input;
    for (let layer = lo; layer < hi; layer += 1) {
      hidden = applyLayer(hidden, layer, kv, layer - lo);
    }
    layerRuns += hi - lo;
    Object.assign(sequence, { pos: sequence.pos + 1 });
    return hidden;
  }

  return {
    run(op) {
      const sequence = sequences.get(op.seq) ?? openSequence(op);
      if (!sequence) return { seq: op.seq, error: 'unknown_sequence' };
      if (op.pos !== sequence.pos) return { seq: op.seq, error: 'bad_position' };
      const inputs = op.tokens?.map((token, i) => embed(token, op.pos! + i))
        ?? (op.hidden ?? []).map(decodeHidden);
      const outputs = inputs.map((input) => runPosition(sequence, input));
      const layers = loaded().find(({ model }) => model === sequence.model)?.layers;
      return sequence.hi === layers
        ? { seq: op.seq, pos: op.pos, token: sample(outputs.at(-1)!) }
        : { seq: op.seq, pos: op.pos, hidden: outputs.map(encodeHidden) };
    },
    drop(seq) {
      sequences.delete(seq);
    },
    exportKv(seq) {
      const found = sequences.get(seq);
      return found && { seq, ...found, kv: [...found.kv].map(encodeHidden) };
    },
    importKv({ seq, kv, ...rest }) {
      sequences.set(seq, { ...rest, kv: Uint32Array.from(kv.map(decodeHidden)) });
    },
    get layerRuns() {
      return layerRuns;
    },
    get size() {
      return sequences.size;
    },
  };
}
