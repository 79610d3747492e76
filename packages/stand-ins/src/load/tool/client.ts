/** Sends one request of the load and measures its answer. */
import { Agent, request } from 'undici';
import type { Arrival } from './schedule.js';

export interface Sample {
  org: string;
  kind: 'chat' | 'lookup';
  /** Milliseconds from the start of the load at which the request was due. */
  dueMs: number;
  /** Milliseconds from when it was due to its first token or answer. */
  firstMs: number;
  gapsMs: number[];
  endMs: number;
  tokens: number;
  /** `completed`, or the code of the refusal, or `broken`. */
  outcome: string;
  retryAfterSeconds: number | undefined;
}

export interface LoadClient {
  send(entry: string, arrival: Arrival): Promise<Sample>;
  close(): Promise<void>;
}

const maxConnections = 4096;
const timeoutMs = 120_000;
const token = 'data: {';
const done = 'data: [DONE]';

export function createLoadClient(startedAt: number): LoadClient {
  const dispatcher = new Agent({
    connections: maxConnections, headersTimeout: timeoutMs, bodyTimeout: timeoutMs,
  });
  const since = (dueMs: number) => performance.now() - startedAt - dueMs;

  function refused(
    sample: Sample,
    status: number,
    headers: Record<string, unknown>,
    text: string,
  ): Sample {
    const known = /"code":"([a-z_]+)"/.exec(text)?.[1] ?? `http_${status}`;
    return {
      ...sample,
      outcome: known,
      firstMs: since(sample.dueMs),
      endMs: since(sample.dueMs),
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
      return refused(sample, res.statusCode, res.headers, await res.body.text());
    }
    let lastAt = 0;
    let text = '';
    res.body.setEncoding('utf8');
    const result = { ...sample, outcome: 'broken', gapsMs: [] as number[] };
    // eslint-disable-next-line no-restricted-syntax -- a stream is read by iteration
    for await (const chunk of res.body) {
      text = (text + String(chunk)).slice(-token.length - done.length);
      const tokens = String(chunk).split(token).length - 1;
      const now = since(sample.dueMs);
      if (tokens > 0 && result.tokens === 0) result.firstMs = now;
      else if (tokens > 0) result.gapsMs.push(now - lastAt);
      lastAt = now;
      result.tokens += tokens;
      if (text.includes(done)) result.outcome = 'completed';
    }
    result.endMs = since(sample.dueMs);
    return result;
  }

  async function lookup(entry: string, { stream }: Arrival, sample: Sample): Promise<Sample> {
    const res = await request(`${entry}${stream.path}`, {
      dispatcher, headers: { authorization: `Bearer ${stream.key}` },
    });
    const text = await res.body.text();
    if (res.statusCode !== 200) return refused(sample, res.statusCode, res.headers, text);
    const ms = since(sample.dueMs);
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
        return { ...sample, endMs: since(sample.dueMs) };
      }
    },
    close: () => dispatcher.close(),
  };
}
