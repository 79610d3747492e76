/** Callers of the soak test: each sends chats, lookups and payments and checks the answers. */
import { request } from 'undici';
import { ByteTokenizer } from '@verbenashunt/core';
import { referenceAnswer } from '@verbenashunt/stand-ins';

const headers = { authorization: 'Bearer soak-key', 'content-type': 'application/json' };
const tokenizer = new ByteTokenizer();
const maxPaymentAttempts = 4;
const paymentRetryMs = 300;

/** Observations of all callers. */
export interface Findings {
  /** Number of requests by kind and outcome. */
  outcomes: Map<string, number>;
  /** Longest gap between two events of each complete answer, in milliseconds. */
  longestGaps: number[];
  /** Descriptions of violated guarantees. */
  violations: string[];
  /** Last answer to each payment: completed, not run (`no`), or unknown. */
  paymentOutcomes: Map<string, 'completed' | 'no' | 'unknown'>;
}

export const createFindings = (): Findings => ({
  outcomes: new Map(), longestGaps: [], violations: [], paymentOutcomes: new Map(),
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
  const randomEntry = () => options.entries[Math.floor(random() * options.entries.length)]!;

  function countOutcome(kind: string, outcome: string) {
    const key = `${kind} ${outcome}`;
    findings.outcomes.set(key, (findings.outcomes.get(key) ?? 0) + 1);
  }

  function checkText(question: string, text: string, isComplete: boolean) {
    const prompt = tokenizer.encode(`user: ${question}\n`);
    const tokens = referenceAnswer(options.layers, prompt, options.maxTokens);
    const expected = Buffer.from(tokens).toString();
    const isCorrect = isComplete ? text === expected : expected.startsWith(text);
    if (!isCorrect) findings.violations.push(`chat "${question}": got "${text}", expected "${expected}"`);
  }

  async function readEvents(body: AsyncIterable<Buffer>) {
    const chunks: string[] = [];
    let lastAt = performance.now();
    let longestGap = 0;
    const reader = body[Symbol.asyncIterator]();
    const read = async (): Promise<void> => {
      const { done, value } = await reader.next();
      if (done) return undefined;
      longestGap = Math.max(longestGap, performance.now() - lastAt);
      lastAt = performance.now();
      chunks.push(value.toString());
      return read();
    };
    // If the connection breaks in mid-answer, the text received so far is still checked.
    await read().catch(() => {});
    return { text: chunks.join(''), longestGap };
  }

  async function chat(id: string) {
    const question = `Why is runner ${id} ranked there?`;
    const res = await request(`${randomEntry()}/v1/chat/completions`, {
      method: 'POST',
      headers,
      body: JSON.stringify({
        model: 'm', stream: true, max_tokens: options.maxTokens, messages: [{ role: 'user', content: question }],
      }),
    });
    if (res.statusCode !== 200) {
      const { error } = await res.body.json() as ErrorBody;
      countOutcome('chat', `${error.code}/${error.ran}`);
      return;
    }
    const { text: events, longestGap } = await readEvents(res.body);
    const text = events.split('\n').filter((line) => line.startsWith('data: {"id"'))
      .map((line) => JSON.parse(line.slice('data: '.length)) as { choices: { delta: { content?: string } }[] })
      .map(({ choices }) => choices[0]?.delta.content ?? '')
      .join('');
    const isComplete = events.endsWith('data: [DONE]\n\n');
    checkText(question, text, isComplete);
    if (isComplete) findings.longestGaps.push(longestGap);
    const errorCode = /"code":"([a-z_]+)"/.exec(events)?.[1];
    countOutcome('chat', isComplete ? 'completed' : errorCode ?? 'interrupted');
  }

  async function lookup(id: string) {
    const res = await request(`${randomEntry()}/rankings/${id}`, { headers });
    const text = await res.body.text();
    const { error } = JSON.parse(text) as Partial<ErrorBody>;
    countOutcome('lookup', error ? `${error.code}/${error.ran}` : 'completed');
    if (!error && !text.includes(`/rankings/${id}`)) findings.violations.push(`lookup ${id} got ${text}`);
  }

  /** Sends a payment, and retries it with the same idempotency key until it completes. */
  async function pay(id: string, attempt = 1): Promise<void> {
    const retry = async (outcome: string, ran: 'no' | 'unknown') => {
      countOutcome('payment', outcome);
      findings.paymentOutcomes.set(id, ran);
      if (attempt >= maxPaymentAttempts) return undefined;
      await sleep(paymentRetryMs);
      return pay(id, attempt + 1);
    };
    try {
      const res = await request(`${randomEntry()}/payments`, {
        method: 'POST', headers: { ...headers, 'idempotency-key': id }, body: JSON.stringify({ id }),
      });
      const body = await res.body.json() as Partial<ErrorBody>;
      if (body.error) return await retry(`${body.error.code}/${body.error.ran}`, body.error.ran === 'no' ? 'no' : 'unknown');
      countOutcome('payment', 'completed');
      findings.paymentOutcomes.set(id, 'completed');
      return undefined;
    } catch {
      return retry('no answer', 'unknown');
    }
  }

  const senders = [chat, chat, lookup, pay];

  /** Sends one request of a random kind. */
  return async function send(id: string): Promise<void> {
    const sendKind = senders[Math.floor(random() * senders.length)]!;
    try {
      await sendKind(id);
    } catch {
      countOutcome(sendKind.name, 'no answer');
    }
  };
}
