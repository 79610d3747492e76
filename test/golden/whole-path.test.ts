/** Golden session of the whole path as separate processes. */
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
    model: 'rankings',
    layers: 12,
    fleet: 'armor-rankings',
    engines: [{ lo: 0, hi: 4 }, { lo: 4, hi: 8 }, { lo: 8, hi: 12 }],
    services: 1,
    entries: 1,
    declarations: at('../../examples/demo'),
  });
});

afterAll(() => path?.stop());

test('whole path', async () => {
  const transcript = await playSession(path.entries[0]!, at('../fixtures/whole-path/session.yaml'));
  await expect(transcript).toMatchFileSnapshot(at('../fixtures/whole-path/golden.txt'));
});
