/** An agent resumes the stream to its engine; no layer runs a position twice. */
import { connect } from 'node:net';
import { request } from 'undici';
import { expect, test } from 'vitest';
import { ByteTokenizer } from '@verbenashunt/core';
import { referenceAnswer, waitFor } from '@verbenashunt/stand-ins';
import { callerKey, startInProcess } from '../support/in-process.js';
import { createRelay, type Relay } from '../support/relay.js';

const layers = 4;
const tokens = 200;
const prompt = new ByteTokenizer().encode('user: x\n');
const expected = Buffer.from(referenceAnswer(layers, prompt, tokens)).toString();

test('a stream that is cut again and again', async () => {
  let relay: Relay | undefined;
  const path = await startInProcess({}, {
    accelerator: {
      kind: 'a', layerMsPerToken: 1, layerMsPerPrefillToken: 0, memoryLayers: 64,
    },
  }, {
    async engineUrl(url) {
      relay = await createRelay(Number(new URL(url).port));
      return `http://127.0.0.1:${relay.port}`;
    },
  });
  const runs = async () => {
    const res = await request(`${path.engine}/runs`);
    return (await res.body.json() as { layerRuns: number }).layerRuns;
  };
  const answer = request(`${path.url}/v1/chat/completions`, {
    method: 'POST',
    headers: { authorization: `Bearer ${callerKey}` },
    body: JSON.stringify({ model: 'm', max_tokens: tokens, messages: [{ role: 'user', content: 'x' }] }),
  });
  for (let cuts = 1; cuts <= 3; cuts += 1) {
    const passes = layers * (prompt.length + 40 * cuts);
    await waitFor(`${passes} passes`, async () => await runs() >= passes);
    relay!.cut();
  }
  const { statusCode, body } = await answer;
  expect(statusCode).toBe(200);
  expect(await body.json()).toMatchObject({
    choices: [{ message: { content: expected } }],
  });
  expect(await runs()).toBe(layers * (prompt.length + tokens - 1));
  await path.stop();
  await relay!.close();
});

test('an engine frees the sequences of a caller that died', async () => {
  const path = await startInProcess({});
  const { port, hostname } = new URL(path.engine);
  const held = async () => {
    const res = await request(`${path.engine}/runs`);
    return (await res.body.json() as { sequences: number }).sequences;
  };
  const socket = connect(Number(port), hostname);
  const op = `${JSON.stringify({
    op: 'run', seq: 'left', model: 'm', lo: 0, hi: layers, pos: 0, tokens: [1],
  })}\n`;
  const chunk = `${op.length.toString(16)}\r\n${op}\r\n`;
  socket.write(`POST /stream?session=a&after=0 HTTP/1.1\r\nhost: x\r\ntransfer-encoding: chunked\r\n\r\n${chunk}`);
  await waitFor('the sequence to be held', async () => await held() === 1);
  socket.resetAndDestroy();
  await waitFor('the sequence to be freed', async () => await held() === 0);
  await path.stop();
});
