/** The agent resumes a broken stream to its engine without running a position twice in a layer. */
import { connect } from 'node:net';
import { request } from 'undici';
import { expect, test } from 'vitest';
import { ByteTokenizer } from '@verbenashunt/core';
import { referenceAnswer, waitFor } from '@verbenashunt/stand-ins';
import { callerKey, startInProcessCluster } from '../support/in-process.js';
import { createRelay, type Relay } from '../support/relay.js';

const layers = 4;
const tokens = 200;
const prompt = new ByteTokenizer().encode('user: x\n');
const expected = Buffer.from(referenceAnswer(layers, prompt, tokens)).toString();

test('resumes a stream whose connection breaks repeatedly', async () => {
  let relay: Relay | undefined;
  const cluster = await startInProcessCluster({}, {
    accelerator: {
      kind: 'a', layerMsPerToken: 1, layerMsPerPrefillToken: 0, memoryLayers: 64,
    },
  }, {
    async engineUrl(url) {
      relay = await createRelay(Number(new URL(url).port));
      return `http://127.0.0.1:${relay.port}`;
    },
  });
  const countLayerRuns = async () => {
    const res = await request(`${cluster.engine}/runs`);
    return (await res.body.json() as { layerRuns: number }).layerRuns;
  };
  const answer = request(`${cluster.url}/v1/chat/completions`, {
    method: 'POST',
    headers: { authorization: `Bearer ${callerKey}` },
    body: JSON.stringify({ model: 'm', max_tokens: tokens, messages: [{ role: 'user', content: 'x' }] }),
  });
  for (let cuts = 1; cuts <= 3; cuts += 1) {
    const runsBeforeCut = layers * (prompt.length + 40 * cuts);
    await waitFor(`${runsBeforeCut} layer runs`, async () => await countLayerRuns() >= runsBeforeCut);
    relay!.resetConnections();
  }
  const { statusCode, body } = await answer;
  expect(statusCode).toBe(200);
  expect(await body.json()).toMatchObject({
    choices: [{ message: { content: expected } }],
  });
  expect(await countLayerRuns()).toBe(layers * (prompt.length + tokens - 1));
  await cluster.stop();
  await relay!.close();
});

test('an engine frees the sequences of a client whose connection was reset', async () => {
  const cluster = await startInProcessCluster({});
  const { port, hostname } = new URL(cluster.engine);
  const countSequences = async () => {
    const res = await request(`${cluster.engine}/runs`);
    return (await res.body.json() as { sequences: number }).sequences;
  };
  const socket = connect(Number(port), hostname);
  const op = `${JSON.stringify({
    op: 'run', seq: 'left', model: 'm', lo: 0, hi: layers, pos: 0, tokens: [1],
  })}\n`;
  const chunk = `${op.length.toString(16)}\r\n${op}\r\n`;
  socket.write(`POST /stream?session=a&after=0 HTTP/1.1\r\nhost: x\r\ntransfer-encoding: chunked\r\n\r\n${chunk}`);
  await waitFor('the sequence to exist', async () => await countSequences() === 1);
  socket.resetAndDestroy();
  await waitFor('the sequence to be freed', async () => await countSequences() === 0);
  await cluster.stop();
});
