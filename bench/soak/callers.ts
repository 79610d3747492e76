/** Callers of the soak run: each sends chats, lookups and payments and judges the answers. */
import { request } from 'undici';
import { ByteTokenizer } from '@verbenashunt/core';
import { referenceAnswer } from '@verbenashunt/stand-ins';

const headers = { authorization: 'Bearer soak-key', 'content-type': 'application/json' };
const tokenizer = new ByteTokenizer();
const paymentTries = 4;
const retryMs = 300;

/** What callers saw, and what of it breaks a promise. */
export interface Findings {
  outcomes: Map<string, number>;
  /** Longest gap between two events of each whole answer, in milliseconds. */
  gaps: number[];
  violations: string[];
  /** What each payment's last answer said: 201, no, or unknown. */
  payments: Map<string, 'completed' | 'no' | 'unknown'>;
}

export const createFindings = (): Findings => ({
  outcomes: new Map(), gaps: [], violations: [], payments: new Map(),
});

export interface CallerOptions {
  entries: readonly string[];
  layers: number;
  maxTokens: number;
  random: () => number;
  findings: Findings;
}

interface ErrorBody {
  error: { code: string; ran: string };
}

const sleep = (ms: number) => new Promise((resolve) => {
  setTimeout(resolve, ms);
});

export function createCaller(options: CallerOptions) {
  const { findings, random } = options;
  const entry = () => options.entries[Math.floor(random() * options.entries.length)]!;

  function count(kind: string, outcome: string) {
    const key = `${kind} ${outcome}`;
    findings.outcomes.set(key, (findings.outcomes.get(key) ?? 0) + 1);
  }

  function judgeText(question: string, text: string, whole: boolean) {
    const prompt = tokenizer.encode(`user: ${question}\n`);
    const tokens = referenceAnswer(options.layers, prompt, options.maxTokens);
    const expected = Buffer.from(tokens).toString();
    const right = whole ? text === expected : expected.startsWith(text);
    if (!right) findings.violations.push(`chat "${question}": got "${text}", expected "${expected}"`);
  }

  async function readEvents(body: AsyncIterable<Buffer>) {
    const chunks: string[] = [];
    let lastAt = performance.now();
    let gap = 0;
    const reader = body[Symbol.asyncIterator]();
    const read = async (): Promise<void> => {
      const { done, value } = await reader.next();
      if (done) return undefined;
      gap = Math.max(gap, performance.now() - lastAt);
      lastAt = performance.now();
      chunks.push(value.toString());
      return read();
    };
    // Where the entry ends in mid-answer, what came before is judged.
    await read().catch(() => {});
    return { text: chunks.join(''), gap };
  }

  async function chat(id: string) {
    const question = `Why is runner ${id} ranked there?`;
    const res = await request(`${entry()}/v1/chat/completions`, {
      method: 'POST',
      headers,
      body: JSON.stringify({
        model: 'm', stream: true, max_tokens: options.maxTokens, messages: [{ role: 'user', content: question }],
      }),
    });
    if (res.statusCode !== 200) {
      const { error } = await res.body.json() as ErrorBody;
      count('chat', `${error.code}/${error.ran}`);
      return;
    }
    const { text: events, gap } = await readEvents(res.body);
    const text = events.split('\n').filter((line) => line.startsWith('data: {"id"'))
      .map((line) => JSON.parse(line.slice('data: '.length)) as { choices: { delta: { content?: string } }[] })
      .map(({ choices }) => choices[0]?.delta.content ?? '')
      .join('');
    const whole = events.endsWith('data: [DONE]\n\n');
    judgeText(question, text, whole);
    if (whole) findings.gaps.push(gap);
    const told = /"code":"([a-z_]+)"/.exec(events)?.[1];
    count('chat', whole ? 'completed' : told ?? 'broken off');
  }

  async function lookup(id: string) {
    const res = await request(`${entry()}/rankings/${id}`, { headers });
    const text = await res.body.text();
    const { error } = JSON.parse(text) as Partial<ErrorBody>;
    count('lookup', error ? `${error.code}/${error.ran}` : 'completed');
    if (!error && !text.includes(`/rankings/${id}`)) findings.violations.push(`lookup ${id} got ${text}`);
  }

  /** Sends a payment, and again with the same key while it is not completed. */
  async function pay(id: string, tries = 1): Promise<void> {
    const again = async (outcome: string, ran: 'no' | 'unknown') => {
      count('payment', outcome);
      findings.payments.set(id, ran);
      if (tries >= paymentTries) return undefined;
      await sleep(retryMs);
      return pay(id, tries + 1);
    };
    try {
      const res = await request(`${entry()}/payments`, {
        method: 'POST', headers: { ...headers, 'idempotency-key': id }, body: JSON.stringify({ id }),
      });
      const body = await res.body.json() as Partial<ErrorBody>;
      if (body.error) return await again(`${body.error.code}/${body.error.ran}`, body.error.ran === 'no' ? 'no' : 'unknown');
      count('payment', 'completed');
      findings.payments.set(id, 'completed');
      return undefined;
    } catch {
      return again('no answer', 'unknown');
    }
  }

  const kinds = [chat, chat, lookup, pay];

  /** Sends one request of a random kind. */
  return async function send(id: string): Promise<void> {
    const kind = kinds[Math.floor(random() * kinds.length)]!;
    try {
      await kind(id);
    } catch {
      count(kind.name, 'no answer');
    }
  };
}
