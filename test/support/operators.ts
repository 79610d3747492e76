/** Calls to the operators' API in tests. */
import { request } from 'undici';
import type { Command, Outcome } from '@verbenashunt/schema';
import { operatorKey } from '@verbenashunt/stand-ins';

interface EntryState {
  revision: number;
  agents: { node: string; port: number; state: { draining: boolean } }[];
}

const headersOf = (key: string) => ({ authorization: `Bearer ${key}`, 'content-type': 'application/json' });

/** What an entry sees; undefined while it does not answer. */
export async function stateOf(entry: string): Promise<EntryState | undefined> {
  try {
    const res = await request(`${entry}/operator/v1/state`, { headers: headersOf(operatorKey), headersTimeout: 1000 });
    const body = await res.body.json() as EntryState;
    return res.statusCode === 200 ? body : undefined;
  } catch {
    return undefined;
  }
}

export async function sendCommand(entry: string, command: Command, key = operatorKey) {
  const res = await request(`${entry}/operator/v1/commands`, {
    method: 'POST', headers: headersOf(key), body: JSON.stringify(command),
  });
  return { status: res.statusCode, outcome: await res.body.json() as Outcome };
}

/** A revision that a daemon reports on its metrics page; undefined while it does not answer. */
export async function revisionAt(httpUrl: string): Promise<number | undefined> {
  try {
    const res = await request(`${httpUrl}/metrics`, { headersTimeout: 1000, bodyTimeout: 1000 });
    const line = (await res.body.text()).split('\n').find((l) => l.startsWith('verbenashunt_config_revision '));
    return Number(line?.split(' ')[1] ?? 0);
  } catch {
    return undefined;
  }
}
