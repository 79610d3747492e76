/** Golden session of two entries that stop while they stream: one in peace, one in a hurry. */
import { fileURLToPath } from 'node:url';
import { request } from 'undici';
import {
  afterAll, beforeAll, expect, test,
} from 'vitest';
import { ByteTokenizer } from '@verbenashunt/core';
import {
  referenceAnswer, startCluster, waitFor, type Cluster,
} from '@verbenashunt/stand-ins';
import { callerKey } from '../support/in-process.js';
import { steady } from '../support/session.js';

const at = (path: string) => fileURLToPath(new URL(path, import.meta.url));
const layers = 4;
const tokens = 100;
const expected = Buffer.from(
  referenceAnswer(layers, new ByteTokenizer().encode('user: x\n'), tokens),
).toString();

let path: Cluster;

beforeAll(async () => {
  path = await startCluster({
    model: 'm',
    layers,
    fleet: 'fleet',
    engines: [{ lo: 0, hi: layers, flags: ['--layer-ms', '10'] }],
    services: 0,
    entries: 2,
    declarations: at('../fixtures/frame'),
  });
});

afterAll(() => path?.stop());

const chat = (url: string) => request(`${url}/v1/chat/completions`, {
  method: 'POST',
  headers: { authorization: `Bearer ${callerKey}` },
  body: JSON.stringify({
    model: 'm', stream: true, max_tokens: tokens, messages: [{ role: 'user', content: 'x' }],
  }),
});

/** Tokens as one line, whose number may differ; all other lines as they stand. */
function condense(events: string): string {
  const text = [...events.matchAll(/"content":("[^"]*")/g)].map(([, part]) => JSON.parse(part!) as string).join('');
  const rest = steady(events).split('\n').filter((line) => line !== '' && !line.includes('"content"'));
  const share = text === expected ? 'the whole answer' : 'a part of the answer, from its start';
  expect(expected.startsWith(text)).toBe(true);
  return [share, ...rest].join('\n');
}

async function isRefusing(url: string): Promise<boolean> {
  const ready = await request(`${url}/readyz`);
  await ready.body.dump();
  return ready.statusCode === 503;
}

test('stops', async () => {
  const [calm, hasty] = path.entries as [string, string];
  const streams = await Promise.all([chat(calm), chat(hasty)]);
  const stopped = ['entry-1', 'entry-2'].map((name) => path.daemons.get(name)!.stop());
  await waitFor('both entries to refuse', async () => await isRefusing(calm) && isRefusing(hasty));
  const late = await chat(calm);
  const refusal = `${late.statusCode}, retry-after ${String(late.headers['retry-after'])}, connection ${String(late.headers.connection)}\n${await late.body.text()}`;
  path.daemons.get('entry-2')!.process.kill('SIGTERM');
  const [whole, part] = await Promise.all(
    streams.map(async ({ body }) => condense(await body.text())),
  );
  const codes = await Promise.all(stopped);
  const transcript = [
    '=== SIGTERM while it streams: a new request', refusal,
    '=== the stream', whole, `=== exit code ${codes[0]}`, '',
    '=== SIGTERM twice while it streams: the stream', part, `=== exit code ${codes[1]}`, '',
  ].join('\n');
  await expect(transcript).toMatchFileSnapshot(at('../fixtures/stops/golden.txt'));
});
