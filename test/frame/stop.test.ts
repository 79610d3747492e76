/** Entries and agents that stop on SIGTERM while they stream an answer. */
import { fileURLToPath } from 'node:url';
import { request } from 'undici';
import {
  afterEach, beforeEach, expect, test,
} from 'vitest';
import { ByteTokenizer } from '@verbenashunt/core';
import {
  referenceAnswer, startCluster, waitFor, type Cluster,
} from '@verbenashunt/stand-ins';
import { callerKey } from '../support/in-process.js';

const headers = { authorization: `Bearer ${callerKey}`, 'content-type': 'application/json' };
const maxTokens = 100;
const layers = 4;
const expectedText = Buffer.from(
  referenceAnswer(layers, new ByteTokenizer().encode('user: x\n'), maxTokens),
).toString();

let cluster: Cluster;
let url: string;

/** Starts a cluster whose engine takes about two seconds for an answer. */
const start = (entryFlags: string[] = []) => startCluster({
  model: 'm',
  layers,
  fleet: 'fleet',
  engines: [{ lo: 0, hi: layers, flags: ['--layer-ms', '5'] }],
  services: 0,
  entries: 1,
  declarations: fileURLToPath(new URL('../fixtures/frame', import.meta.url)),
  entryFlags,
});

const chat = () => request(`${url}/v1/chat/completions`, {
  method: 'POST',
  headers,
  body: JSON.stringify({
    model: 'm', stream: true, max_tokens: maxTokens, messages: [{ role: 'user', content: 'x' }],
  }),
});

const textOf = (events: string) => events.split('\n').filter((line) => line.startsWith('data: {"id"'))
  .map((line) => JSON.parse(line.slice('data: '.length)) as { choices: { delta: { content?: string } }[] })
  .map(({ choices }) => choices[0]?.delta.content ?? '')
  .join('');

beforeEach(async () => {
  cluster = await start();
  [url] = cluster.entries as [string];
});

afterEach(() => cluster?.stop());

test('entry: after SIGTERM, completes a stream and refuses new requests', async () => {
  const { body } = await chat();
  const stopped = cluster.daemons.get('entry-1')!.stop();
  await waitFor('/readyz to return 503', async () => {
    const ready = await request(`${url}/readyz`);
    await ready.body.dump();
    return ready.statusCode === 503;
  });
  const refusedResponse = await chat();
  expect(refusedResponse.statusCode).toBe(503);
  expect(refusedResponse.headers).toMatchObject({ 'retry-after': '1', connection: 'close' });
  expect(await refusedResponse.body.json()).toMatchObject({ error: { code: 'stopping', ran: 'no' } });
  const events = await body.text();
  expect(textOf(events)).toBe(expectedText);
  expect(events).toMatch(/\[DONE\]\n\n$/);
  expect(await stopped).toBe(0);
});

test('entry: a second SIGTERM stops it at once and ends the stream with an error event', async () => {
  const { body } = await chat();
  const entry = cluster.daemons.get('entry-1')!;
  const stopped = entry.stop();
  await waitFor('the entry to start draining', async () => entry.log().includes('draining'));
  entry.process.kill('SIGTERM');
  const events = await body.text();
  expect(events).toMatch(/event: error\ndata: .*"code":"interrupted".*"ran":"unknown"/);
  expect(events).not.toContain('[DONE]');
  expect(await stopped).toBe(1);
});

test('entry: cuts a stream off at the drain timeout and exits with code 1', async () => {
  await cluster.stop();
  cluster = await start(['--drain-timeout-ms', '200']);
  [url] = cluster.entries as [string];
  const { body } = await chat();
  const stopped = cluster.daemons.get('entry-1')!.stop();
  expect(await body.text()).toContain('"code":"interrupted"');
  expect(await stopped).toBe(1);
});

test('agent: after SIGTERM, completes a stream and refuses new requests', async () => {
  const { body } = await chat();
  const agent = cluster.daemons.get('agent-engine-1')!;
  const { httpPort } = agent.ready as { httpPort: number };
  const stopped = agent.stop();
  await waitFor('/readyz to return 503', async () => {
    const ready = await request(`http://127.0.0.1:${httpPort}/readyz`);
    await ready.body.dump();
    return ready.statusCode === 503;
  });
  const refusedResponse = await chat();
  expect(refusedResponse.statusCode).toBe(503);
  expect(await refusedResponse.body.json()).toMatchObject({ error: { ran: 'no' } });
  expect(textOf(await body.text())).toBe(expectedText);
  expect(await stopped).toBe(0);
});
