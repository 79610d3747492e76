/** Calls that may not be repeated, over real processes that are killed and frozen. */
import { fileURLToPath } from 'node:url';
import { request } from 'undici';
import {
  afterEach, beforeEach, expect, test,
} from 'vitest';
import { startCluster, waitFor, type Cluster } from '@verbenashunt/stand-ins';

interface Answer {
  status: number;
  text: string;
}

const declarations = fileURLToPath(new URL('../fixtures/requests/services', import.meta.url));

let path: Cluster;

beforeEach(async () => {
  path = await startCluster({
    model: 'none', layers: 1, fleet: 'orders', engines: [], services: 2, entries: 2, declarations,
  });
});

afterEach(() => path?.stop());

async function pay(entry: number, key: string, url = '/payments', body = '{"amount":12}'): Promise<Answer> {
  const headers = { authorization: 'Bearer demo-key', 'idempotency-key': key };
  const res = await request(path.entries[entry]! + url, { method: 'POST', headers, body });
  return { status: res.statusCode, text: await res.body.text() };
}

function errorOf({ text }: Answer) {
  return (JSON.parse(text) as { error: { code: string; ran: string } }).error;
}

async function runs(): Promise<number> {
  const counts = await Promise.all(['app-1', 'app-2'].map(async (name) => {
    const res = await request(`${path.targets.get(name)!}/_runs`);
    return ((await res.body.json()) as { runs: unknown[] }).runs.length;
  }));
  return counts.reduce((sum, n) => sum + n, 0);
}

const setService = (faults: object) => Promise.all([...path.targets.values()]
  .map((url) => request(`${url}/_faults`, { method: 'POST', body: JSON.stringify(faults) })));

const hasRun = () => waitFor('the call to run', async () => await runs() > 0);

test('same key', async () => {
  const first = await pay(0, 'k');
  expect(first.status).toBe(201);
  expect(await pay(0, 'k')).toEqual(first);
  expect(await pay(1, 'k')).toEqual(first);
  expect(errorOf(await pay(1, 'k', '/payments', '{"amount":13}')).code).toBe('key_reused');
  expect(await runs()).toBe(1);
});

test('no key', async () => {
  const res = await request(`${path.entries[0]!}/payments`, {
    method: 'POST', headers: { authorization: 'Bearer demo-key' }, body: '{}',
  });
  expect(errorOf({ status: res.statusCode, text: await res.body.text() }).code).toBe('key_required');
  expect(await runs()).toBe(0);
});

test('two entries at once', async () => {
  await setService({ delayMs: 200 });
  const answers = await Promise.all([0, 1, 0, 1].map((entry) => pay(entry, 'k')));
  expect(await runs()).toBe(1);
  expect(new Set(answers.map(({ status }) => status))).toEqual(new Set([201]));
});

test('entry killed in the call', async () => {
  await setService({ answerDelayMs: 500 });
  const lost = pay(0, 'k').catch(() => undefined);
  await hasRun();
  await path.daemons.get('entry-1')!.stop('SIGKILL');
  await lost;
  expect((await pay(1, 'k')).status).toBe(201);
  expect(await runs()).toBe(1);
});

test('agent killed in the call', async () => {
  await setService({ answerDelayMs: 5000 });
  const first = pay(0, 'k', '/alone');
  await hasRun();
  await path.daemons.get('agent-app-1')!.stop('SIGKILL');
  expect(errorOf(await first)).toMatchObject({ code: 'outcome_unknown', ran: 'unknown' });
  expect(errorOf(await pay(1, 'k', '/alone'))).toMatchObject({ code: 'outcome_unknown', ran: 'unknown' });
  expect(await runs()).toBe(1);
});

test('agent frozen before the call', async () => {
  path.daemons.get('agent-app-1')!.process.kill('SIGSTOP');
  const refused = errorOf(await pay(0, 'k', '/alone'));
  expect(refused).toMatchObject({ code: 'outcome_unknown', ran: 'unknown' });
  path.daemons.get('agent-app-1')!.process.kill('SIGCONT');
  const again = await pay(1, 'k', '/alone');
  expect(again.status).toBe(201);
  expect(await runs()).toBe(1);
});

test('table down', async () => {
  await path.setFaults(path.platform, { outage: true });
  expect(errorOf(await pay(0, 'k'))).toMatchObject({ code: 'platform_unavailable', ran: 'no' });
  expect(await runs()).toBe(0);
  await path.setFaults(path.platform, { outage: false });
  expect((await pay(0, 'k')).status).toBe(201);
  expect(await runs()).toBe(1);
});

test('answer of the reservation lost', async () => {
  const lose = (faults: object) => path.setFaults(path.platform, { tables: { calls: faults } });
  await lose({ dropResponses: 1 });
  expect((await pay(0, 'k')).status).toBe(201);
  // The outcome is written after the answer and would use up the next fault.
  await waitFor('the outcome to be recorded', async () => {
    const res = await request(`${path.platform}/tables/calls`);
    const { rows } = await res.body.json() as { rows: { value: string }[] };
    return rows.length === 1 && (JSON.parse(rows[0]!.value) as { state: string }).state === 'done';
  });
  await lose({ dropRequests: 1 });
  expect(errorOf(await pay(0, 'other'))).toMatchObject({ code: 'platform_unavailable', ran: 'no' });
  expect(await runs()).toBe(1);
});
