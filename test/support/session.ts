/** Plays a session of requests against a running path and writes what was seen as text. */
import { readFile } from 'node:fs/promises';
import { request } from 'undici';
import { parse } from 'yaml';

interface SessionStep {
  name: string;
  method: string;
  path: string;
  headers?: Record<string, string>;
  body?: unknown;
  /** Sent as it stands in place of a JSON body. */
  rawBody?: string;
}

interface Session {
  headers: Record<string, string>;
  steps: SessionStep[];
}

/** Headers that belong to the session; dates and connection headers differ between runs. */
const shownHeaders = ['content-type', 'retry-after'];

/** Replaces what differs between runs: request ids and times. */
export const steady = (text: string) => text
  .replaceAll(/entry-\d+-[a-z0-9]+-(\d+)/g, 'REQUEST-$1')
  .replaceAll(/"created":\d+/g, '"created":0');

async function play(url: string, session: Session, step: SessionStep): Promise<string> {
  const res = await request(url + step.path, {
    method: step.method as 'GET',
    headers: { ...session.headers, ...step.headers },
    body: step.rawBody ?? (step.body === undefined ? null : JSON.stringify(step.body)),
  });
  const shown = shownHeaders.flatMap((name) => (res.headers[name] ? [`${name}: ${String(res.headers[name])}`] : []));
  return [
    `=== ${step.name}`, `${step.method} ${step.path}`, `--- ${res.statusCode}`, ...shown, '',
    steady(await res.body.text()).trimEnd(), '',
  ].join('\n');
}

/** Plays the steps of a YAML session in order; returns the transcript. */
export async function playSession(url: string, file: string): Promise<string> {
  const session = parse(await readFile(file, 'utf8')) as Session;
  return session.steps.reduce<Promise<string>>(async (before, step) => {
    const transcript = await before;
    return `${transcript}${await play(url, session, step)}\n`;
  }, Promise.resolve(''));
}
