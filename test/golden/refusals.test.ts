/** Golden session of requests that are refused, bounds among them. */
import { fileURLToPath } from 'node:url';
import {
  afterAll, beforeAll, expect, test,
} from 'vitest';
import { startCluster, type Cluster } from '@verbenashunt/stand-ins';
import { playSession } from '../support/session.js';

const at = (path: string) => fileURLToPath(new URL(path, import.meta.url));

let path: Cluster;

beforeAll(async () => {
  path = await startCluster({
    model: 'm',
    layers: 4,
    fleet: 'fleet',
    engines: [{ lo: 0, hi: 4 }],
    services: 1,
    entries: 1,
    declarations: at('../fixtures/refusals/declarations'),
    entryFlags: ['--max-body-bytes', '1024', '--max-prompt-tokens', '64'],
  });
});

afterAll(() => path?.stop());

test('refusals', async () => {
  const transcript = await playSession(path.entries[0]!, at('../fixtures/refusals/session.yaml'));
  await expect(transcript).toMatchFileSnapshot(at('../fixtures/refusals/golden.txt'));
});
