/** Non-idempotent calls run at most once, also when real processes are killed or paused. */
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

let cluster: Cluster;

beforeEach(async () => {
  cluster = await startCluster({
    model: 'none', layers: 1, fleet: 'orders', engines: [], services: 2, entries: 2, declarations,
  });
});

afterEach(() => cluster?.stop());

async function sendPayment(entry: number, key: string, url = '/payments', body = '{"amount":12}'): Promise<Answer> {
  const headers = { authorization: 'Bearer demo-key', 'idempotency-key': key };
  const res = await request(cluster.entries[entry]! + url, { method: 'POST', headers, body });
  return { status: res.statusCode, text: await res.body.text() };
}

function errorOf({ text }: Answer) {
  return (JSON.parse(text) as { error: { code: string; ran: string } }).error;
}

async function countRuns(): Promise<number> {
  const counts = await Promise.all(['app-1', 'app-2'].map(async (name) => {
    const res = await request(`${cluster.targets.get(name)!}/_runs`);
    return ((await res.body.json()) as { runs: unknown[] }).runs.length;
  }));
  return counts.reduce((sum, n) => sum + n, 0);
}

const setServiceFaults = (faults: object) => Promise.all([...cluster.targets.values()]
  .map((url) => request(`${url}/_faults`, { method: 'POST', body: JSON.stringify(faults) })));

const waitForRun = () => waitFor('the call to run', async () => await countRuns() > 0);

test('a call repeated with the same key runs once', async () => {
  const first = await sendPayment(0, 'k');
  expect(first.status).toBe(201);
  expect(await sendPayment(0, 'k')).toEqual(first);
  expect(await sendPayment(1, 'k')).toEqual(first);
  expect(errorOf(await sendPayment(1, 'k', '/payments', '{"amount":13}')).code).toBe('key_reused');
  expect(await countRuns()).toBe(1);
});

test('a non-idempotent call without a key is refused', async () => {
  const res = await request(`${cluster.entries[0]!}/payments`, {
    method: 'POST', headers: { authorization: 'Bearer demo-key' }, body: '{}',
  });
  expect(errorOf({ status: res.statusCode, text: await res.body.text() }).code).toBe('key_required');
  expect(await countRuns()).toBe(0);
});

test('concurrent calls with the same key at two entries run once', async () => {
  await setServiceFaults({ delayMs: 200 });
  const answers = await Promise.all([0, 1, 0, 1].map((entry) => sendPayment(entry, 'k')));
  expect(await countRuns()).toBe(1);
  expect(new Set(answers.map(({ status }) => status))).toEqual(new Set([201]));
});

test('a call that is repeated after its entry was killed runs once', async () => {
  await setServiceFaults({ answerDelayMs: 500 });
  const interrupted = sendPayment(0, 'k').catch(() => undefined);
  await waitForRun();
  await cluster.daemons.get('entry-1')!.stop('SIGKILL');
  await interrupted;
  expect((await sendPayment(1, 'k')).status).toBe(201);
  expect(await countRuns()).toBe(1);
});

test('the outcome is unknown if the agent is killed during the call', async () => {
  await setServiceFaults({ answerDelayMs: 5000 });
  const first = sendPayment(0, 'k', '/alone');
  await waitForRun();
  await cluster.daemons.get('agent-app-1')!.stop('SIGKILL');
  expect(errorOf(await first)).toMatchObject({ code: 'outcome_unknown', ran: 'unknown' });
  expect(errorOf(await sendPayment(1, 'k', '/alone'))).toMatchObject({ code: 'outcome_unknown', ran: 'unknown' });
  expect(await countRuns()).toBe(1);
});

test('a call that is repeated after its agent was paused runs once', async () => {
  cluster.daemons.get('agent-app-1')!.process.kill('SIGSTOP');
  const first = errorOf(await sendPayment(0, 'k', '/alone'));
  expect(first).toMatchObject({ code: 'outcome_unknown', ran: 'unknown' });
  cluster.daemons.get('agent-app-1')!.process.kill('SIGCONT');
  const again = await sendPayment(1, 'k', '/alone');
  expect(again.status).toBe(201);
  expect(await countRuns()).toBe(1);
});

test('a call is refused while the table service is down', async () => {
  await cluster.setFaults(cluster.platform, { outage: true });
  expect(errorOf(await sendPayment(0, 'k'))).toMatchObject({ code: 'platform_unavailable', ran: 'no' });
  expect(await countRuns()).toBe(0);
  await cluster.setFaults(cluster.platform, { outage: false });
  expect((await sendPayment(0, 'k')).status).toBe(201);
  expect(await countRuns()).toBe(1);
});

test('a call runs at most once if the write of its reservation fails', async () => {
  const setTableFaults = (faults: object) => cluster.setFaults(cluster.platform, {
    tables: { calls: faults },
  });
  await setTableFaults({ dropResponses: 1 });
  expect((await sendPayment(0, 'k')).status).toBe(201);
  // The outcome is written after the response; that write would consume the next fault.
  await waitFor('the outcome to be recorded', async () => {
    const res = await request(`${cluster.platform}/tables/calls`);
    const { rows } = await res.body.json() as { rows: { value: string }[] };
    return rows.length === 1 && (JSON.parse(rows[0]!.value) as { state: string }).state === 'done';
  });
  await setTableFaults({ dropRequests: 1 });
  expect(errorOf(await sendPayment(0, 'other'))).toMatchObject({ code: 'platform_unavailable', ran: 'no' });
  expect(await countRuns()).toBe(1);
});
