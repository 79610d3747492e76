/** KV caches of the sequences that an engine holds. */
import type { EngineOp, EngineOut, KvExport } from '@verbenashunt/schema';
import {
  applyLayer, embed, fromWire, sample, toWire,
} from './model.js';

interface Sequence {
  kv: Uint32Array;
  model: string;
  lo: number;
  hi: number;
  /** Next position. */
  pos: number;
}

export interface LoadedRange {
  model: string;
  version: string;
  lo: number;
  hi: number;
  layers: number;
}

export interface SequenceStore {
  /** Runs the layers of an operation once for each of its positions. */
  run(op: EngineOp): EngineOut;
  drop(seq: string): void;
  exportKv(seq: string): KvExport | undefined;
  importKv(kv: KvExport): void;
  /** Counted passes: positions times layers that ran. */
  readonly layerRuns: number;
  readonly size: number;
}

export function createSequenceStore(loaded: () => readonly LoadedRange[]): SequenceStore {
  const sequences = new Map<string, Sequence>();
  let layerRuns = 0;

  function open(op: EngineOp): Sequence | undefined {
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
      const sequence = sequences.get(op.seq) ?? open(op);
      if (!sequence) return { seq: op.seq, error: 'unknown_sequence' };
      if (op.pos !== sequence.pos) return { seq: op.seq, error: 'bad_position' };
      const inputs = op.tokens?.map((token, i) => embed(token, op.pos! + i))
        ?? (op.hidden ?? []).map(fromWire);
      const outputs = inputs.map((input) => runPosition(sequence, input));
      const layers = loaded().find(({ model }) => model === sequence.model)?.layers;
      return sequence.hi === layers
        ? { seq: op.seq, pos: op.pos, token: sample(outputs.at(-1)!) }
        : { seq: op.seq, pos: op.pos, hidden: outputs.map(toWire) };
    },
    drop(seq) {
      sequences.delete(seq);
    },
    exportKv(seq) {
      const found = sequences.get(seq);
      return found && { seq, ...found, kv: [...found.kv].map(toWire) };
    },
    importKv({ seq, kv, ...rest }) {
      sequences.set(seq, { ...rest, kv: Uint32Array.from(kv.map(fromWire)) });
    },
    get layerRuns() {
      return layerRuns;
    },
    get size() {
      return sequences.size;
    },
  };
}
