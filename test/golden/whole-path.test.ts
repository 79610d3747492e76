/** Compares the responses of a cluster of separate processes with a recorded transcript. */
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
    model: 'rankings',
    layers: 12,
    fleet: 'armor-rankings',
    engines: [{ lo: 0, hi: 4 }, { lo: 4, hi: 8 }, { lo: 8, hi: 12 }],
    services: 1,
    entries: 1,
    declarations: toPath('../../examples/demo'),
  });
});

afterAll(() => cluster?.stop());

test('responses of a cluster of separate processes match the recorded transcript', async () => {
  const transcript = await recordSession(cluster.entries[0]!, toPath('../fixtures/whole-path/session.yaml'));
  await expect(transcript).toMatchFileSnapshot(toPath('../fixtures/whole-path/golden.txt'));
});
