/** Child process of the path bench: keeps a number of streams going for a time. */
import { openStreamClient } from './stream-client.js';

interface Order {
  url: string;
  key: string;
  model: string;
  maxTokens: number;
  streams: number;
  warmUpMs: number;
  measureMs: number;
}

const order = JSON.parse(process.argv[2]!) as Order;
const counts = { tokens: 0, requests: 0, failed: 0 };
const startedAt = performance.now();
const elapsed = () => performance.now() - startedAt;
const isMeasured = () => elapsed() >= order.warmUpMs
  && elapsed() < order.warmUpMs + order.measureMs;

async function keepStreaming(index: number) {
  const client = await openStreamClient(order.url);
  for (let n = 0; elapsed() < order.warmUpMs + order.measureMs; n += 1) {
    const whole = await client.send({ ...order, content: `${index}-${n}` }, (tokens) => {
      if (isMeasured()) counts.tokens += tokens;
    });
    if (isMeasured() && whole) counts.requests += 1;
    if (!whole) {
      counts.failed += 1;
      break;
    }
  }
  client.close();
}

await Promise.all(Array.from({ length: order.streams }, (_, i) => keepStreaming(i)));
process.stdout.write(`${JSON.stringify(counts)}\n`);
