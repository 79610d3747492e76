/** Compares the output of operator commands against separate processes with a transcript. */
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

const toPath = (path: string) => fileURLToPath(new URL(path, import.meta.url));

interface OperatorStep {
  name: string;
  as: 'founder' | 'night';
  /** Number of the entry that the command is sent to, from 1. */
  entry: number;
  args: string[];
}

let cluster: Cluster;
let directory: string;

beforeAll(async () => {
  directory = await mkdtemp(join(tmpdir(), 'verbenashunt-operators-'));
  cluster = await startCluster({
    model: 'rankings',
    layers: 4,
    fleet: 'armor-rankings',
    engines: [{ lo: 0, hi: 2, flags: ['--checks-fencing'] }, { lo: 2, hi: 4, flags: ['--checks-fencing'] }],
    services: 1,
    entries: 2,
    declarations: toPath('../fixtures/operators/first'),
    entryFlags: ['--head-poll-ms', '100'],
  });
});

afterAll(async () => {
  await cluster?.stop();
  await rm(directory, { recursive: true });
});

/** Replaces times, command ids and the temporary directory, which differ between runs. */
const maskVariableParts = (text: string) => text
  .replaceAll(/\d{4}-\d\d-\d\dT[\d:.]+Z/g, 'TIME')
  .replaceAll(/[0-9a-f]{8}(-[0-9a-f]{4}){3}-[0-9a-f]{12}/g, 'COMMAND')
  .replaceAll(directory, 'DIR');

const keys = { founder: operatorKey, night: 'night-key' };

async function runStep({
  name, as, entry, args,
}: OperatorStep) {
  const resolvedArgs = args.map((arg) => arg
    .replace('DIR', directory).replace('FIXTURES', toPath('../fixtures/operators')));
  const { code, stdout, stderr } = await runCommand(resolvedArgs, {
    VERBENASHUNT_ENTRY: cluster.entries[entry - 1]!, VERBENASHUNT_KEY: keys[as],
  });
  const output = maskVariableParts(stdout + stderr).replaceAll(toPath('../fixtures/operators'), 'FIXTURES');
  return `=== ${name} (${as}, entry ${entry})\n$ verbenashunt ${args.join(' ')}\n${output}--- exit ${code}\n\n`;
}

test('output of plan, apply, drain, history and query matches the recorded transcript', async () => {
  const steps = parse(await readFile(toPath('../fixtures/operators/session.yaml'), 'utf8')) as OperatorStep[];
  const transcript = await steps.reduce(
    async (before, step) => `${await before}${await runStep(step)}`,
    Promise.resolve(''),
  );
  await expect(transcript).toMatchFileSnapshot(toPath('../fixtures/operators/golden.txt'));
});
