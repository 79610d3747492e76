/** Requests to the operator API and the metrics page, for tests. */
import { request } from 'undici';
import type { Command, Outcome } from '@verbenashunt/schema';
import { operatorKey } from '@verbenashunt/stand-ins';

interface EntryState {
  revision: number;
  agents: { node: string; port: number; state: { draining: boolean } }[];
}

const createHeaders = (key: string) => ({ authorization: `Bearer ${key}`, 'content-type': 'application/json' });

/** Fetches the state of an entry; undefined if there is no valid response. */
export async function fetchEntryState(entry: string): Promise<EntryState | undefined> {
  try {
    const res = await request(`${entry}/operator/v1/state`, { headers: createHeaders(operatorKey), headersTimeout: 1000 });
    const body = await res.body.json() as EntryState;
    return res.statusCode === 200 ? body : undefined;
  } catch {
    return undefined;
  }
}

export async function sendCommand(entry: string, command: Command, key = operatorKey) {
  const res = await request(`${entry}/operator/v1/commands`, {
    method: 'POST', headers: createHeaders(key), body: JSON.stringify(command),
  });
  return { status: res.statusCode, outcome: await res.body.json() as Outcome };
}

/** Reads the revision of a daemon from its metrics page; undefined if there is no response. */
export async function fetchRevision(httpUrl: string): Promise<number | undefined> {
  try {
    const res = await request(`${httpUrl}/metrics`, { headersTimeout: 1000, bodyTimeout: 1000 });
    const line = (await res.body.text()).split('\n').find((l) => l.startsWith('verbenashunt_config_revision '));
    return Number(line?.split(' ')[1] ?? 0);
  } catch {
    return undefined;
  }
}
