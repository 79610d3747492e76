/**
 * Compares the responses of two entries that stop while they stream, one after one SIGTERM and one
 * after two, with a recorded transcript.
 */
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
import { maskVariableParts } from '../support/session.js';

const toPath = (path: string) => fileURLToPath(new URL(path, import.meta.url));
const layers = 4;
const maxTokens = 100;
const expectedText = Buffer.from(
  referenceAnswer(layers, new ByteTokenizer().encode('user: x\n'), maxTokens),
).toString();

let cluster: Cluster;

beforeAll(async () => {
  cluster = await startCluster({
    model: 'm',
    layers,
    fleet: 'fleet',
    engines: [{ lo: 0, hi: layers, flags: ['--layer-ms', '10'] }],
    services: 0,
    entries: 2,
    declarations: toPath('../fixtures/frame'),
  });
});

afterAll(() => cluster?.stop());

const chat = (url: string) => request(`${url}/v1/chat/completions`, {
  method: 'POST',
  headers: { authorization: `Bearer ${callerKey}` },
  body: JSON.stringify({
    model: 'm', stream: true, max_tokens: maxTokens, messages: [{ role: 'user', content: 'x' }],
  }),
});

/** Summarizes the token events, whose number varies, as one line and keeps all other lines. */
function summarizeEvents(events: string): string {
  const text = [...events.matchAll(/"content":("[^"]*")/g)].map(([, part]) => JSON.parse(part!) as string).join('');
  const otherLines = maskVariableParts(events).split('\n').filter((line) => line !== '' && !line.includes('"content"'));
  const summary = text === expectedText ? 'the whole answer' : 'a part of the answer, from its start';
  expect(expectedText.startsWith(text)).toBe(true);
  return [summary, ...otherLines].join('\n');
}

async function isRefusing(url: string): Promise<boolean> {
  const ready = await request(`${url}/readyz`);
  await ready.body.dump();
  return ready.statusCode === 503;
}

test('entries that stop while they stream match the recorded transcript', async () => {
  const [gracefulUrl, forcedUrl] = cluster.entries as [string, string];
  const streams = await Promise.all([chat(gracefulUrl), chat(forcedUrl)]);
  const stopped = ['entry-1', 'entry-2'].map((name) => cluster.daemons.get(name)!.stop());
  await waitFor('both entries to refuse', async () => await isRefusing(gracefulUrl) && isRefusing(forcedUrl));
  const refusedResponse = await chat(gracefulUrl);
  const refusal = `${refusedResponse.statusCode}, retry-after ${String(refusedResponse.headers['retry-after'])}, connection ${String(refusedResponse.headers.connection)}\n${await refusedResponse.body.text()}`;
  cluster.daemons.get('entry-2')!.process.kill('SIGTERM');
  const [completeStream, interruptedStream] = await Promise.all(
    streams.map(async ({ body }) => summarizeEvents(await body.text())),
  );
  const codes = await Promise.all(stopped);
  const transcript = [
    '=== SIGTERM while it streams: a new request', refusal,
    '=== the stream', completeStream, `=== exit code ${codes[0]}`, '',
    '=== SIGTERM twice while it streams: the stream', interruptedStream, `=== exit code ${codes[1]}`, '',
  ].join('\n');
  await expect(transcript).toMatchFileSnapshot(toPath('../fixtures/stops/golden.txt'));
});
