/** Requests that crash their targets are quarantined; other requests on the targets complete. */
import { fileURLToPath } from 'node:url';
import { request } from 'undici';
import { afterEach, expect, test } from 'vitest';
import { ByteTokenizer, createSuspectTracker } from '@verbenashunt/core';
import {
  operatorKey, referenceAnswer, runCommand, startCluster, waitFor, type Cluster,
} from '@verbenashunt/stand-ins';

const maxTokens = 40;
const layers = 4;
const engines = Array.from({ length: 4 }, () => ({ lo: 0, hi: layers, flags: ['--layer-ms', '5'] }));

let cluster: Cluster | undefined;

afterEach(() => cluster?.stop());

test('the second crash without other suspects quarantines a request', () => {
  const suspects = createSuspectTracker();
  suspects.begin('a', 'poison', 0);
  expect(suspects.recordCrash('a', true)).toBe('retry');
  expect(suspects.recordCrash('a', true)).toBe('quarantine');
});

test('the third crash quarantines a request even if there were other suspects', () => {
  const suspects = createSuspectTracker();
  suspects.begin('a', 'poison', 1);
  expect(suspects.recordCrash('a', false)).toBe('retry');
  expect(suspects.recordCrash('a', false)).toBe('quarantine');
});

test('only suspects avoid the nodes of other suspects', () => {
  const suspects = createSuspectTracker();
  ['poison', 'innocent', 'other'].forEach((name) => suspects.begin(name, name, 0));
  suspects.recordCrash('poison', true);
  suspects.recordCrash('innocent', true);
  suspects.place('poison', ['n2']);
  expect(suspects.nodesOfOtherSuspects('innocent')).toEqual(new Set(['n2']));
  expect(suspects.nodesOfOtherSuspects('other')).toEqual(new Set());
  suspects.place('innocent', ['n2', 'n3']);
  expect(suspects.sharesNodeWithSuspect('innocent')).toBe(true);
  suspects.end('poison');
  expect(suspects.sharesNodeWithSuspect('innocent')).toBe(false);
});

const sendMessages = (
  entry: string,
  messages: { role: string; content: string }[],
) => request(`${entry}/v1/chat/completions`, {
  method: 'POST',
  headers: { authorization: 'Bearer demo-key', 'content-type': 'application/json' },
  body: JSON.stringify({ model: 'rankings', max_tokens: maxTokens, messages }),
});

const sendChat = (entry: string, content: string) => sendMessages(entry, [{ role: 'user', content }]);

const expectedOf = (content: string) => {
  const prompt = new ByteTokenizer().encode(`user: ${content}\n`);
  return Buffer.from(referenceAnswer(layers, prompt, maxTokens)).toString();
};

test('every entry refuses a quarantined request, and an operator can release it', async () => {
  cluster = await startCluster({
    model: 'rankings',
    layers,
    fleet: 'armor-rankings',
    engines,
    services: 0,
    entries: 2,
    declarations: fileURLToPath(new URL('../fixtures/requests/poison', import.meta.url)),
  });
  const { entries, targets } = cluster;
  const crashOnTokens = new TextEncoder().encode('POISON');
  await Promise.all([...targets.values()]
    .map((url) => cluster!.setFaults(url, { crashOnTokens: [...crashOnTokens] })));
  const otherPrompts = Array.from({ length: 8 }, (_, i) => `Who won race ${i}?`);
  const answers = otherPrompts.map((content, i) => sendChat(entries[i % 2]!, content));
  const poison = await sendChat(entries[0]!, 'POISON');
  expect(poison.statusCode).toBe(422);
  expect(await poison.body.json()).toMatchObject({ error: { code: 'quarantined', ran: 'unknown' } });

  const finished = await Promise.all((await Promise.all(answers)).map(({ body }) => body.json()));
  expect(finished).toMatchObject(otherPrompts
    .map((content) => ({ choices: [{ message: { content: expectedOf(content) } }] })));

  const operator = ['--entry', entries[1]!, '--key', operatorKey];
  const listQuarantine = async () => JSON.parse((await runCommand(['quarantine', '--json', ...operator])).stdout) as
    { fingerprint: string; state: string }[];
  await waitFor('the other entry to read the quarantine', async () => (await listQuarantine())
    .some(({ state }) => state === 'quarantined'));
  const repeated = await sendChat(entries[1]!, 'POISON');
  expect(repeated.statusCode).toBe(422);
  expect(await repeated.body.json()).toMatchObject({ error: { code: 'quarantined', ran: 'no' } });
  const alive = await Promise.all([...targets.values()]
    .map((url) => request(`${url}/status`).then(() => true, () => false)));
  expect(alive.filter(Boolean)).toHaveLength(engines.length - 2);

  const { fingerprint } = (await listQuarantine()).find(({ state }) => state === 'quarantined')!;
  const released = await runCommand(['quarantine', 'release', fingerprint, ...operator]);
  expect(released).toMatchObject({ code: 0, stdout: 'released\n' });
  expect((await listQuarantine()).some((found) => found.fingerprint === fingerprint)).toBe(false);
});

test('requests that share a crashing message are refused by every entry', async () => {
  cluster = await startCluster({
    model: 'rankings',
    layers,
    fleet: 'armor-rankings',
    engines: [...engines, ...engines.slice(0, 2)],
    services: 0,
    entries: 2,
    declarations: fileURLToPath(new URL('../fixtures/requests/poison-messages', import.meta.url)),
  });
  const { entries, targets } = cluster;
  const crashOnTokens = [...new TextEncoder().encode('POISON')];
  await Promise.all([...targets.values()]
    .map((url) => cluster!.setFaults(url, { crashOnTokens })));
  const send = async (i: number, system: string) => {
    const { statusCode, body } = await sendMessages(entries[i % 2]!, [
      { role: 'system', content: system }, { role: 'user', content: `Who won race ${i}?` },
    ]);
    await body.dump();
    return statusCode;
  };
  // A request crashes at most two targets, and its own fingerprint is refused after that.
  await send(0, 'POISON');
  await send(2, 'POISON');
  const operator = ['--entry', entries[1]!, '--key', operatorKey];
  await waitFor('the other entry to refuse the message', async () => {
    const { stdout } = await runCommand(['quarantine', ...operator]);
    return /^part\.\S+ {2}quarantined/m.test(stdout);
  });
  const answers = [await send(3, 'POISON'), await send(4, 'POISON'), await send(5, 'Be brief.')];
  expect(answers).toEqual([422, 422, 200]);
  const alive = await Promise.all([...targets.values()]
    .map((url) => request(`${url}/status`).then(() => true, () => false)));
  expect(alive.filter(Boolean)).toHaveLength(6 - 3);
});
