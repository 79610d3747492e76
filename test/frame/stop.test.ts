/** Planned stops of entry and agent while an answer is streamed. */
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
const tokens = 100;
const layers = 4;
const expected = Buffer.from(
  referenceAnswer(layers, new ByteTokenizer().encode('user: x\n'), tokens),
).toString();

let path: Cluster;
let url: string;

/** Starts the path; the answers of its engine take about two seconds. */
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
    model: 'm', stream: true, max_tokens: tokens, messages: [{ role: 'user', content: 'x' }],
  }),
});

const textOf = (events: string) => events.split('\n').filter((line) => line.startsWith('data: {"id"'))
  .map((line) => JSON.parse(line.slice('data: '.length)) as { choices: { delta: { content?: string } }[] })
  .map(({ choices }) => choices[0]?.delta.content ?? '')
  .join('');

beforeEach(async () => {
  path = await start();
  [url] = path.entries as [string];
});

afterEach(() => path?.stop());

test('entry: SIGTERM runs a stream to its end and refuses new work', async () => {
  const { body } = await chat();
  const stopped = path.daemons.get('entry-1')!.stop();
  await waitFor('/readyz to turn', async () => {
    const ready = await request(`${url}/readyz`);
    await ready.body.dump();
    return ready.statusCode === 503;
  });
  const late = await chat();
  expect(late.statusCode).toBe(503);
  expect(late.headers).toMatchObject({ 'retry-after': '1', connection: 'close' });
  expect(await late.body.json()).toMatchObject({ error: { code: 'stopping', ran: 'no' } });
  const events = await body.text();
  expect(textOf(events)).toBe(expected);
  expect(events).toMatch(/\[DONE\]\n\n$/);
  expect(await stopped).toBe(0);
});

test('entry: a second SIGTERM ends at once and says so in the stream', async () => {
  const { body } = await chat();
  const entry = path.daemons.get('entry-1')!;
  const stopped = entry.stop();
  await waitFor('the drain', async () => entry.log().includes('draining'));
  entry.process.kill('SIGTERM');
  const events = await body.text();
  expect(events).toMatch(/event: error\ndata: .*"code":"interrupted".*"ran":"unknown"/);
  expect(events).not.toContain('[DONE]');
  expect(await stopped).toBe(1);
});

test('entry: the drain time-out ends it', async () => {
  await path.stop();
  path = await start(['--drain-timeout-ms', '200']);
  [url] = path.entries as [string];
  const { body } = await chat();
  const stopped = path.daemons.get('entry-1')!.stop();
  expect(await body.text()).toContain('"code":"interrupted"');
  expect(await stopped).toBe(1);
});

test('agent: SIGTERM runs a stream to its end and refuses new work', async () => {
  const { body } = await chat();
  const agent = path.daemons.get('agent-engine-1')!;
  const { httpPort } = agent.ready as { httpPort: number };
  const stopped = agent.stop();
  await waitFor('/readyz to turn', async () => {
    const ready = await request(`http://127.0.0.1:${httpPort}/readyz`);
    await ready.body.dump();
    return ready.statusCode === 503;
  });
  const late = await chat();
  expect(late.statusCode).toBe(503);
  expect(await late.body.json()).toMatchObject({ error: { ran: 'no' } });
  expect(textOf(await body.text())).toBe(expected);
  expect(await stopped).toBe(0);
});
