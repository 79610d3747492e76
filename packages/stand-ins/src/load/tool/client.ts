/** HTTP client of the load tool; measures the answer to each request. */
import { Agent, request } from 'undici';
import type { Arrival } from './schedule.js';

export interface Sample {
  org: string;
  kind: 'chat' | 'lookup';
  /** Scheduled send time in milliseconds from the start of the load. */
  dueMs: number;
  /** Milliseconds from the scheduled send time to the first token, lookup answer or refusal. */
  firstMs: number;
  /** Milliseconds between consecutive chunks with tokens. */
  gapsMs: number[];
  /** Milliseconds from the scheduled send time to the end of the answer. */
  endMs: number;
  tokens: number;
  /** `completed`, the error code or `http_STATUS` of a refusal, or `broken` when cut off. */
  outcome: string;
  retryAfterSeconds: number | undefined;
}

export interface LoadClient {
  send(entry: string, arrival: Arrival): Promise<Sample>;
  close(): Promise<void>;
}

const maxConnections = 4096;
const timeoutMs = 120_000;
/** Start of a server-sent event that carries a token. */
const tokenMarker = 'data: {';
/** The server-sent event after a complete answer. */
const doneMarker = 'data: [DONE]';

export function createLoadClient(startedAt: number): LoadClient {
  const dispatcher = new Agent({
    connections: maxConnections, headersTimeout: timeoutMs, bodyTimeout: timeoutMs,
  });
  const msSinceDue = (dueMs: number) => performance.now() - startedAt - dueMs;

  function refusedSample(
    sample: Sample,
    status: number,
    headers: Record<string, unknown>,
    text: string,
  ): Sample {
    const code = /"code":"([a-z_]+)"/.exec(text)?.[1] ?? `http_${status}`;
    return {
      ...sample,
      outcome: code,
      firstMs: msSinceDue(sample.dueMs),
      endMs: msSinceDue(sample.dueMs),
      retryAfterSeconds: headers['retry-after'] === undefined ? undefined : Number(headers['retry-after']),
    };
  }

  async function chat(entry: string, arrival: Arrival, sample: Sample): Promise<Sample> {
    const { stream, promptTokens, maxTokens } = arrival;
    const res = await request(`${entry}/v1/chat/completions`, {
      method: 'POST',
      dispatcher,
      headers: { authorization: `Bearer ${stream.key}`, 'content-type': 'application/json' },
      body: JSON.stringify({
        model: stream.model,
        stream: true,
        max_tokens: maxTokens,
        messages: [{ role: 'user', content: 'x'.repeat(promptTokens) }],
      }),
    });
    if (res.statusCode !== 200) {
      return refusedSample(sample, res.statusCode, res.headers, await res.body.text());
    }
    let lastAt = 0;
    let tail = '';
    res.body.setEncoding('utf8');
    const result = { ...sample, outcome: 'broken', gapsMs: [] as number[] };
    // eslint-disable-next-line no-restricted-syntax -- reads an async iterable
    for await (const chunk of res.body) {
      tail = (tail + String(chunk)).slice(-tokenMarker.length - doneMarker.length);
      const tokens = String(chunk).split(tokenMarker).length - 1;
      const now = msSinceDue(sample.dueMs);
      if (tokens > 0 && result.tokens === 0) result.firstMs = now;
      else if (tokens > 0) result.gapsMs.push(now - lastAt);
      lastAt = now;
      result.tokens += tokens;
      if (tail.includes(doneMarker)) result.outcome = 'completed';
    }
    result.endMs = msSinceDue(sample.dueMs);
    return result;
  }

  async function lookup(entry: string, { stream }: Arrival, sample: Sample): Promise<Sample> {
    const res = await request(`${entry}${stream.path}`, {
      dispatcher, headers: { authorization: `Bearer ${stream.key}` },
    });
    const text = await res.body.text();
    if (res.statusCode !== 200) return refusedSample(sample, res.statusCode, res.headers, text);
    const ms = msSinceDue(sample.dueMs);
    return {
      ...sample, outcome: 'completed', firstMs: ms, endMs: ms,
    };
  }

  return {
    async send(entry, arrival) {
      const { org, kind } = arrival.stream;
      const sample: Sample = {
        org, kind, dueMs: arrival.atMs, firstMs: 0, gapsMs: [], endMs: 0, tokens: 0, outcome: 'broken', retryAfterSeconds: undefined,
      };
      try {
        return await (kind === 'chat' ? chat : lookup)(entry, arrival, sample);
      } catch {
        return { ...sample, endMs: msSinceDue(sample.dueMs) };
      }
    },
    close: () => dispatcher.close(),
  };
}
