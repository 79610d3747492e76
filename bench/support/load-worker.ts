/** Child process of the path bench: sends streamed requests over parallel connections. */
import { openStreamClient } from './stream-client.js';

interface WorkerOptions {
  url: string;
  key: string;
  model: string;
  maxTokens: number;
  /** Number of connections, each with one request at a time. */
  streams: number;
  warmUpMs: number;
  measurementMs: number;
}

const options = JSON.parse(process.argv[2]!) as WorkerOptions;
const counts = { tokens: 0, requests: 0, failed: 0 };
const startedAt = performance.now();
const elapsed = () => performance.now() - startedAt;
const isMeasured = () => elapsed() >= options.warmUpMs
  && elapsed() < options.warmUpMs + options.measurementMs;

async function sendRequests(index: number) {
  const client = await openStreamClient(options.url);
  for (let n = 0; elapsed() < options.warmUpMs + options.measurementMs; n += 1) {
    const isComplete = await client.send({ ...options, content: `${index}-${n}` }, (tokens) => {
      if (isMeasured()) counts.tokens += tokens;
    });
    if (isMeasured() && isComplete) counts.requests += 1;
    if (!isComplete) {
      counts.failed += 1;
      break;
    }
  }
  client.close();
}

await Promise.all(Array.from({ length: options.streams }, (_, i) => sendRequests(i)));
process.stdout.write(`${JSON.stringify(counts)}\n`);
