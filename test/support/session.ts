/** Sends the requests of a session file to an entry and records the responses as text. */
import { readFile } from 'node:fs/promises';
import { request } from 'undici';
import { parse } from 'yaml';

interface SessionStep {
  name: string;
  method: string;
  path: string;
  headers?: Record<string, string>;
  body?: unknown;
  /** Body that is sent as it is, instead of `body` as JSON. */
  rawBody?: string;
}

interface Session {
  headers: Record<string, string>;
  steps: SessionStep[];
}

/** Headers to record; others, such as dates and connection headers, differ between runs. */
const recordedHeaders = ['content-type', 'retry-after'];

/** Replaces request ids and times, which differ between runs. */
export const maskVariableParts = (text: string) => text
  .replaceAll(/entry-\d+-[a-z0-9]+-(\d+)/g, 'REQUEST-$1')
  .replaceAll(/"created":\d+/g, '"created":0');

async function runStep(url: string, session: Session, step: SessionStep): Promise<string> {
  const res = await request(url + step.path, {
    method: step.method as 'GET',
    headers: { ...session.headers, ...step.headers },
    body: step.rawBody ?? (step.body === undefined ? null : JSON.stringify(step.body)),
  });
  const shown = recordedHeaders.flatMap((name) => (res.headers[name] ? [`${name}: ${String(res.headers[name])}`] : []));
  return [
    `=== ${step.name}`, `${step.method} ${step.path}`, `--- ${res.statusCode}`, ...shown, '',
    maskVariableParts(await res.body.text()).trimEnd(), '',
  ].join('\n');
}

/** Sends the requests of a YAML file in order; returns the transcript of the responses. */
export async function recordSession(url: string, file: string): Promise<string> {
  const session = parse(await readFile(file, 'utf8')) as Session;
  return session.steps.reduce<Promise<string>>(async (before, step) => {
    const transcript = await before;
    return `${transcript}${await runStep(url, session, step)}\n`;
  }, Promise.resolve(''));
}
