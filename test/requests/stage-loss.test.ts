/** Recovery from killed and paused processes: the caller still gets the complete answer. */
import { once } from 'node:events';
import { fileURLToPath } from 'node:url';
import { request } from 'undici';
import {
  afterEach, beforeEach, expect, test,
} from 'vitest';
import { ByteTokenizer } from '@verbenashunt/core';
import { referenceAnswer, startCluster, type Cluster } from '@verbenashunt/stand-ins';

const layers = 12;
const maxTokens = 60;
const tokenizer = new ByteTokenizer();
const reference = referenceAnswer(layers, tokenizer.encode('user: Why third?\n'), maxTokens);
const ranges = [[0, 4], [4, 8], [8, 12]] as const;
/** Slow enough that a process can be killed during the answer. */
const flags = ['--layer-ms', '2'];

let cluster: Cluster;

beforeEach(async () => {
  cluster = await startCluster({
    model: 'rankings',
    layers,
    fleet: 'armor-rankings',
    engines: [...ranges, ...ranges].map(([lo, hi]) => ({ lo, hi, flags })),
    services: 1,
    entries: 1,
    declarations: fileURLToPath(new URL('../../examples/demo', import.meta.url)),
  });
});

afterEach(() => cluster?.stop());

async function sequencesOf(name: string): Promise<number> {
  const res = await request(`${cluster.targets.get(name)!}/runs`);
  return ((await res.body.json()) as { sequences: number }).sequences;
}

/** Engines that hold a sequence, in order of their layers. */
async function currentChain(): Promise<string[]> {
  const names = ['engine-1', 'engine-2', 'engine-3', 'engine-4', 'engine-5', 'engine-6'];
  const held = await Promise.all(names.map(sequencesOf));
  return names.filter((_, i) => held[i]! > 0)
    .sort((a, b) => ((Number(a.at(-1)) - 1) % 3) - ((Number(b.at(-1)) - 1) % 3));
}

/** Streams an answer, and calls `onPartialAnswer` once after some tokens. */
async function streamAnswer(onPartialAnswer: () => Promise<unknown>): Promise<string> {
  const res = await request(`${cluster.entries[0]!}/v1/chat/completions`, {
    method: 'POST',
    headers: { authorization: 'Bearer demo-key', 'content-type': 'application/json' },
    body: JSON.stringify({
      model: 'rankings', stream: true, max_tokens: maxTokens, messages: [{ role: 'user', content: 'Why third?' }],
    }),
  });
  let text = '';
  let failure: Promise<unknown> | undefined;
  res.body.on('data', (chunk: Buffer) => {
    text += chunk.toString();
    if (text.split('\n\n').length > 8) failure ??= onPartialAnswer();
  });
  await once(res.body, 'end');
  await failure;
  return text;
}

function contentOf(text: string): string {
  return text.split('\n\n').filter((line) => line.startsWith('data: {')).map((line) => {
    const { choices } = JSON.parse(line.slice('data: '.length)) as {
      choices: { delta: { content?: string } }[];
    };
    return choices[0]!.delta.content ?? '';
  }).join('');
}

const expected = String.fromCharCode(...reference);
const stop = (name: string, signal: NodeJS.Signals = 'SIGKILL') => cluster.daemons.get(name)!.stop(signal);

test.each([[[0]], [[1]], [[2]], [[0, 2]]])('the answer is complete after the agents of stages %j are killed', async (killed) => {
  const text = await streamAnswer(async () => {
    const engines = await currentChain();
    await Promise.all(killed.map((index) => stop(`agent-${engines[index]!}`)));
  });
  expect(contentOf(text)).toBe(expected);
  expect(text).toContain('[DONE]');
});

test.each([0, 1, 2])('the answer is complete after the engine of stage %i is killed', async (index) => {
  const text = await streamAnswer(async () => stop((await currentChain())[index]!));
  expect(contentOf(text)).toBe(expected);
});

test('the answer is complete after the agent of a stage is paused', async () => {
  const text = await streamAnswer(async () => cluster.daemons.get(`agent-${(await currentChain())[1]!}`)!.process.kill('SIGSTOP'));
  expect(contentOf(text)).toBe(expected);
});

test('a disconnected caller releases every engine', async () => {
  const res = await request(`${cluster.entries[0]!}/v1/chat/completions`, {
    method: 'POST',
    headers: { authorization: 'Bearer demo-key', 'content-type': 'application/json' },
    body: JSON.stringify({
      model: 'rankings', stream: true, max_tokens: 5000, messages: [{ role: 'user', content: 'x' }],
    }),
  });
  res.body.on('error', () => {});
  await expect.poll(async () => (await currentChain()).length, { timeout: 20_000 }).toBe(3);
  res.body.destroy();
  await expect.poll(async () => (await currentChain()).length, { timeout: 20_000 }).toBe(0);
});
