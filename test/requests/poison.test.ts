/** Requests that crash the targets that run them. */
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

let path: Cluster | undefined;

afterEach(() => path?.stop());

test('second crash alone', () => {
  const suspects = createSuspectTracker();
  suspects.begin('a', 'poison', 0);
  expect(suspects.recordCrash('a', true)).toBe('retry');
  expect(suspects.recordCrash('a', true)).toBe('quarantine');
});

test('a crash that another suspect may explain needs a third', () => {
  const suspects = createSuspectTracker();
  suspects.begin('a', 'poison', 1);
  expect(suspects.recordCrash('a', false)).toBe('retry');
  expect(suspects.recordCrash('a', false)).toBe('quarantine');
});

test('suspects keep away from suspects alone', () => {
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

const chat = (entry: string, content: string) => request(`${entry}/v1/chat/completions`, {
  method: 'POST',
  headers: { authorization: 'Bearer demo-key', 'content-type': 'application/json' },
  body: JSON.stringify({ model: 'rankings', max_tokens: maxTokens, messages: [{ role: 'user', content }] }),
});

const expectedOf = (content: string) => {
  const prompt = new ByteTokenizer().encode(`user: ${content}\n`);
  return Buffer.from(referenceAnswer(layers, prompt, maxTokens)).toString();
};

test('sent again through another entry; innocents finish; released by an operator', async () => {
  path = await startCluster({
    model: 'rankings',
    layers,
    fleet: 'armor-rankings',
    engines,
    services: 0,
    entries: 2,
    declarations: fileURLToPath(new URL('../fixtures/requests/poison', import.meta.url)),
  });
  const { entries, targets } = path;
  const crashOnTokens = new TextEncoder().encode('POISON');
  await Promise.all([...targets.values()]
    .map((url) => path!.setFaults(url, { crashOnTokens: [...crashOnTokens] })));
  const innocents = Array.from({ length: 8 }, (_, i) => `Who won race ${i}?`);
  const answers = innocents.map((content, i) => chat(entries[i % 2]!, content));
  const poison = await chat(entries[0]!, 'POISON');
  expect(poison.statusCode).toBe(422);
  expect(await poison.body.json()).toMatchObject({ error: { code: 'quarantined', ran: 'unknown' } });

  const finished = await Promise.all((await Promise.all(answers)).map(({ body }) => body.json()));
  expect(finished).toMatchObject(innocents
    .map((content) => ({ choices: [{ message: { content: expectedOf(content) } }] })));

  const operator = ['--entry', entries[1]!, '--key', operatorKey];
  const listed = async () => JSON.parse((await runCommand(['quarantine', '--json', ...operator])).stdout) as
    { fingerprint: string; state: string }[];
  await waitFor('the other entry to know', async () => (await listed())
    .some(({ state }) => state === 'quarantined'));
  const again = await chat(entries[1]!, 'POISON');
  expect(again.statusCode).toBe(422);
  expect(await again.body.json()).toMatchObject({ error: { code: 'quarantined', ran: 'no' } });
  const alive = await Promise.all([...targets.values()]
    .map((url) => request(`${url}/status`).then(() => true, () => false)));
  expect(alive.filter(Boolean)).toHaveLength(engines.length - 2);

  const { fingerprint } = (await listed()).find(({ state }) => state === 'quarantined')!;
  const released = await runCommand(['quarantine', 'release', fingerprint, ...operator]);
  expect(released).toMatchObject({ code: 0, stdout: 'released\n' });
  expect((await listed()).some((found) => found.fingerprint === fingerprint)).toBe(false);
});
