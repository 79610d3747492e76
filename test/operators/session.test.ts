/** Golden session of operators: plan, apply, drain, conflicts, history, on separate processes. */
import { mkdtemp, readFile, rm } from 'node:fs/promises';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { fileURLToPath } from 'node:url';
import {
  afterAll, beforeAll, expect, test,
} from 'vitest';
import { parse } from 'yaml';
import {
  operatorKey, runCommand, startCluster, type Cluster,
} from '@verbenashunt/stand-ins';

const at = (path: string) => fileURLToPath(new URL(path, import.meta.url));

interface OperatorStep {
  name: string;
  as: 'founder' | 'night';
  /** Number of the entry. */
  entry: number;
  args: string[];
}

let path: Cluster;
let directory: string;

beforeAll(async () => {
  directory = await mkdtemp(join(tmpdir(), 'verbenashunt-operators-'));
  path = await startCluster({
    model: 'rankings',
    layers: 4,
    fleet: 'armor-rankings',
    engines: [{ lo: 0, hi: 2, flags: ['--checks-fencing'] }, { lo: 2, hi: 4, flags: ['--checks-fencing'] }],
    services: 1,
    entries: 2,
    declarations: at('../fixtures/operators/first'),
    entryFlags: ['--head-poll-ms', '100'],
  });
});

afterAll(async () => {
  await path?.stop();
  await rm(directory, { recursive: true });
});

/** Replaces what differs between runs: times and command ids. */
const steady = (text: string) => text
  .replaceAll(/\d{4}-\d\d-\d\dT[\d:.]+Z/g, 'TIME')
  .replaceAll(/[0-9a-f]{8}(-[0-9a-f]{4}){3}-[0-9a-f]{12}/g, 'COMMAND')
  .replaceAll(directory, 'DIR');

const keys = { founder: operatorKey, night: 'night-key' };

async function play({
  name, as, entry, args,
}: OperatorStep) {
  const filled = args.map((arg) => arg
    .replace('DIR', directory).replace('FIXTURES', at('../fixtures/operators')));
  const { code, stdout, stderr } = await runCommand(filled, {
    VERBENASHUNT_ENTRY: path.entries[entry - 1]!, VERBENASHUNT_KEY: keys[as],
  });
  const shown = steady(stdout + stderr).replaceAll(at('../fixtures/operators'), 'FIXTURES');
  return `=== ${name} (${as}, entry ${entry})\n$ verbenashunt ${args.join(' ')}\n${shown}--- exit ${code}\n\n`;
}

test('operators plan, apply, drain, conflict and look back', async () => {
  const steps = parse(await readFile(at('../fixtures/operators/session.yaml'), 'utf8')) as OperatorStep[];
  const transcript = await steps.reduce(
    async (before, step) => `${await before}${await play(step)}`,
    Promise.resolve(''),
  );
  await expect(transcript).toMatchFileSnapshot(at('../fixtures/operators/golden.txt'));
});
