/** Compares the responses to refused requests, some of which exceed a limit, with a transcript. */
import { fileURLToPath } from 'node:url';
import {
  afterAll, beforeAll, expect, test,
} from 'vitest';
import { startCluster, type Cluster } from '@verbenashunt/stand-ins';
import { recordSession } from '../support/session.js';

const toPath = (path: string) => fileURLToPath(new URL(path, import.meta.url));

let cluster: Cluster;

beforeAll(async () => {
  cluster = await startCluster({
    model: 'm',
    layers: 4,
    fleet: 'fleet',
    engines: [{ lo: 0, hi: 4 }],
    services: 1,
    entries: 1,
    declarations: toPath('../fixtures/refusals/declarations'),
    entryFlags: ['--max-body-bytes', '1024', '--max-prompt-tokens', '64'],
  });
});

afterAll(() => cluster?.stop());

test('responses to refused requests match the recorded transcript', async () => {
  const transcript = await recordSession(cluster.entries[0]!, toPath('../fixtures/refusals/session.yaml'));
  await expect(transcript).toMatchFileSnapshot(toPath('../fixtures/refusals/golden.txt'));
});
