/** Demo: starts a local cluster, sends a chat, a lookup and a payment, prints what ran where. */
import { fileURLToPath } from 'node:url';
import { request } from 'undici';
import { ByteTokenizer } from '@verbenashunt/core';
import { referenceAnswer } from '../engine/model.js';
import { ProcessError } from './processes.js';
import { startCluster } from './cluster.js';

const layers = 12;
const answerTokens = 24;
const headers = { authorization: 'Bearer demo-key', 'content-type': 'application/json' };
const declarations = fileURLToPath(new URL('../../../../examples/demo', import.meta.url));
const print = (line: string) => process.stdout.write(`${line}\n`);

async function check(name: string, passed: boolean) {
  if (!passed) throw new ProcessError(`demo check failed: ${name}`);
  print(`  ok: ${name}`);
}

const cluster = await startCluster({
  model: 'rankings',
  layers,
  fleet: 'armor-rankings',
  engines: [{ lo: 0, hi: 4, flags: ['--checks-fencing'] }, { lo: 4, hi: 8, flags: ['--checks-fencing'] }, { lo: 8, hi: 12 }],
  services: 1,
  entries: 1,
  declarations,
});

async function runSession(entry: string) {
  print('POST /v1/chat/completions (streamed)');
  const question = 'Why is runner 12 ranked third?';
  const chat = await request(`${entry}/v1/chat/completions`, {
    method: 'POST',
    headers,
    body: JSON.stringify({
      model: 'rankings', stream: true, max_tokens: answerTokens, messages: [{ role: 'user', content: question }],
    }),
  });
  const events = (await chat.body.text()).split('\n').filter((line) => line.startsWith('data: {'))
    .map((line) => JSON.parse(line.slice('data: '.length)) as { choices: { delta: { content?: string } }[] });
  const text = events.map(({ choices }) => choices[0]?.delta.content ?? '').join('');
  print(`  ${text}`);
  const prompt = new ByteTokenizer().encode(`user: ${question}\n`);
  const expected = Buffer.from(referenceAnswer(layers, prompt, answerTokens)).toString();
  await check('the answer matches the reference model', text === expected);

  print('GET /rankings/12');
  const lookup = await request(`${entry}/rankings/12`, { headers });
  await check('the lookup is answered', lookup.statusCode === 200 && (await lookup.body.text()).includes('/rankings/12'));

  print('POST /payments');
  const payment = await request(`${entry}/payments`, {
    method: 'POST', headers: { ...headers, 'idempotency-key': 'demo-payment-1' }, body: JSON.stringify({ amount: 12 }),
  });
  await check('the payment is answered', payment.statusCode === 201);
  await payment.body.dump();

  print('What ran where');
  const runs = await Promise.all([...cluster.targets].map(async ([name, url]) => {
    const res = await request(`${url}/${name.startsWith('engine') ? 'runs' : '_runs'}`);
    return `  ${name}: ${await res.body.text()}`;
  }));
  runs.forEach(print);
}

try {
  await runSession(cluster.entries[0]!);
  print(`The entry listens at ${cluster.entries[0]}; the bearer key is demo-key. Interrupt to stop.`);
  if (!process.argv.includes('--once')) {
    await new Promise((resolve) => {
      process.once('SIGINT', resolve);
      process.once('SIGTERM', resolve);
    });
  }
  await cluster.stop();
  print('demo ok: chat, lookup and payment served by separate processes');
} catch (err) {
  await cluster.stop();
  throw err;
}
