/**
 * Drives a chain of engines without an entry or agents, as the baseline for the latency they add.
 */
import { PassThrough } from 'node:stream';
import { createInterface } from 'node:readline';
import { Client } from 'undici';
import type { EngineOp, EngineOut } from '@verbenashunt/schema';

interface Stage {
  lo: number;
  hi: number;
  run(op: EngineOp): Promise<EngineOut>;
  close(): Promise<void>;
}

export interface DirectChain {
  /** Generates `count` tokens and calls `onToken` after each. */
  generate(
    seq: string,
    prompt: readonly number[],
    count: number,
    onToken: () => void,
  ): Promise<void>;
  close(): Promise<void>;
}

async function openStage(url: string, lo: number, hi: number): Promise<Stage> {
  const client = new Client(url, { headersTimeout: 0, bodyTimeout: 0 });
  const input = new PassThrough();
  const pending = new Map<string, (out: EngineOut) => void>();
  input.write('\n');
  const { body } = await client.request({ method: 'POST', path: '/stream', body: input });
  const lines = createInterface({ input: body });
  lines.on('line', (line) => {
    const out = JSON.parse(line) as EngineOut;
    pending.get(out.seq)?.(out);
  });
  lines.on('error', () => {});
  body.on('error', () => {});
  return {
    lo,
    hi,
    run: (op) => new Promise((resolve) => {
      pending.set(op.seq, resolve);
      input.write(`${JSON.stringify(op)}\n`);
    }),
    close: () => client.destroy(),
  };
}

export async function openDirectChain(
  model: string,
  engines: { url: string; lo: number; hi: number }[],
): Promise<DirectChain> {
  const stages = await Promise.all(engines.map(({ url, lo, hi }) => openStage(url, lo, hi)));

  /** Runs one input through every stage and returns the sampled token. */
  async function runStages(seq: string, pos: number, tokens: number[]): Promise<number> {
    const last = await stages.reduce<Promise<EngineOut>>(async (before, { lo, hi, run }) => {
      const { hidden } = await before;
      const input = hidden ? { hidden } : { tokens };
      return run({
        op: 'run', seq, model, lo, hi, pos, ...input,
      });
    }, Promise.resolve({ seq }));
    return last.token!;
  }

  return {
    async generate(seq, prompt, count, onToken) {
      let token = await runStages(seq, 0, [...prompt]);
      onToken();
      for (let i = 1; i < count; i += 1) {
        token = await runStages(seq, prompt.length + i - 1, [token]);
        onToken();
      }
      stages.forEach(({ run }) => {
        run({ op: 'cancel', seq });
      });
    },
    close: async () => {
      await Promise.all(stages.map((stage) => stage.close()));
    },
  };
}
