/**
 * An entry of the own mode as a process under clients that do not behave. Timeouts are so long that
 * only the bounds of the entry itself can end such a connection.
 */
import { randomUUID } from 'node:crypto';
import { mkdtemp, rm, writeFile } from 'node:fs/promises';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { fileURLToPath } from 'node:url';
import { Agent, Client, request } from 'undici';
import {
  afterAll, afterEach, beforeAll, expect, test, vi,
} from 'vitest';
import {
  startCluster, startDaemon, startStandIn, type Cluster, type Daemon,
} from '@verbenashunt/stand-ins';
import { createCertificates } from '../support/certificates.js';
import {
  openCrowd, openDescriptors, peakMemoryMb, sent, type Crowd, type CrowdOptions,
} from '../support/crowd.js';
import { chunkOf, distinctLines, shortLines } from '../support/hostile-requests.js';
import { openRaw } from '../support/raw-connection.js';

/** Time limit in milliseconds of waits, which no check depends on. */
const patienceMs = 90_000;
/** Memory of an entry's VM. */
const memoryMb = 350;
const maxConnections = 500;
/** Connections for agents, the platform and over `maxConnections`, and other descriptors. */
const otherDescriptors = 250;
const maxBodyBytes = 64 * 1024;

const limitFlags = [
  '--max-connections', `${maxConnections}`, '--max-body-bytes', `${maxBodyBytes}`,
  '--max-buffered-bytes', `${32 * 1024 * 1024}`, '--header-timeout-ms', '600000',
  '--body-timeout-ms', '600000', '--keep-alive-timeout-ms', '600000', '--stream-stall-timeout-ms', '600000',
];

const callerKey = 'member-key';

let cluster: Cluster | undefined;
const daemons: Daemon[] = [];

vi.setConfig({ testTimeout: 3 * patienceMs });

beforeAll(async () => {
  cluster = await startCluster({
    model: 'm',
    layers: 4,
    fleet: 'fleet',
    engines: [{ lo: 0, hi: 4 }],
    services: 1,
    entries: 1,
    declarations: fileURLToPath(new URL('../fixtures/refusals/declarations', import.meta.url)),
    entryFlags: limitFlags,
  });
});

afterAll(() => cluster?.stop());

afterEach(async () => {
  await Promise.all(daemons.splice(0).map((daemon) => daemon.stop('SIGKILL')));
});

const entryPort = () => Number(new URL(cluster!.entries[0]!).port);
const entryPid = () => cluster!.daemons.get('entry-1')!.process.pid!;

/** Sends an ordinary request on a new connection; resolves to the status of its answer. */
async function answer(): Promise<number> {
  const client = new Client(cluster!.entries[0]!);
  const { statusCode, body } = await client.request({
    path: '/lookups', method: 'GET', headers: { authorization: `Bearer ${callerKey}` },
  });
  await body.dump();
  await client.close();
  return statusCode;
}

/** Checks that an ordinary request is answered, repeated as a caller would after a refusal. */
const expectAnswer = () => expect
  .poll(() => answer().catch(() => 0), { timeout: patienceMs }).toBe(200);

async function expectToBear(crowd: Crowd) {
  const { process: { exitCode, signalCode } } = cluster!.daemons.get('entry-1')!;
  expect({ exitCode, signalCode }).toEqual({ exitCode: null, signalCode: null });
  expect(await peakMemoryMb(entryPid())).toBeLessThan(memoryMb);
  expect(await openDescriptors(entryPid())).toBeLessThan(maxConnections + otherDescriptors);
  await expectAnswer();
  crowd.close();
  await expectAnswer();
  expect(await peakMemoryMb(entryPid())).toBeLessThan(memoryMb);
}

async function expectToBearCrowd(options: Omit<CrowdOptions, 'port'>) {
  const crowd = await openCrowd({ port: entryPort(), ...options });
  try {
    await sent(crowd, new Promise(() => {}));
    await expectToBear(crowd);
  } finally {
    crowd.close();
  }
}

const headOf = (lines: readonly string[]) => [
  'POST /payments HTTP/1.1', 'host: x', `idempotency-key: ${randomUUID()}`, ...lines, '', '',
].join('\r\n');
const keyLine = `authorization: Bearer ${callerKey}`;

test.each(['content-length: 5', keyLine])('a header after 1100 short lines is seen: %s', async (last) => {
  const lines = [keyLine, 'content-length: 5'].filter((line) => line !== last);
  const caller = openRaw(entryPort());
  caller.write(`${headOf([...lines, ...distinctLines(1100), last])}hello`);
  await expect.poll(() => caller.received).toMatch(/^HTTP\/1\.1 201 /);
  caller.socket.destroy();
  const res = await request(`${cluster!.targets.get('app-1')}/_runs`);
  const { runs } = await res.body.json() as { runs: { body: string }[] };
  expect(runs.at(-1)?.body).toBe('hello');
});

test.each([
  ['that send nothing', ''],
  ['that send part of a head', 'GET /lookups HTTP/1.1\r\n'],
  ['that were answered', `GET /lookups HTTP/1.1\r\nhost: x\r\n${keyLine}\r\n\r\n`],
])('more connections than the entry takes, %s', (_, text) => expectToBearCrowd({
  connections: 800, text,
}));

test.each([
  ['heads of short lines', 400, headOf([keyLine, ...shortLines(15_000)]).slice(0, -2)],
  ['bodies of one-byte chunks', 60, headOf([keyLine, 'transfer-encoding: chunked']) + chunkOf('a').repeat(maxBodyBytes)],
])('%s that stop short of their end in the own mode', (_, connections, text) => expectToBearCrowd({
  connections, text,
}));

test('TLS connections whose handshakes are never completed', async () => {
  const { cert, key, ca } = await createCertificates();
  const directory = await mkdtemp(join(tmpdir(), 'verbenashunt-tls-'));
  await Promise.all([['cert.pem', cert], ['key.pem', key]]
    .map(([name, text]) => writeFile(join(directory, name!), text!)));
  const platform = await startStandIn('platform', ['platform']);
  daemons.push(platform);
  const entry = await startDaemon('tls-entry', [
    'entry', '--node', 'tls-entry', '--zone', 'zone-a', '--region', 'region', '--peer-port', '0', '--http-port', '0',
    '--platform-url', String(platform.ready), ...limitFlags,
    '--tls-cert', join(directory, 'cert.pem'), '--tls-key', join(directory, 'key.pem'),
  ]);
  daemons.push(entry);
  const { httpPort } = entry.ready as { httpPort: number };
  // The first bytes of a TLS record that announces more than follows.
  const crowd = await openCrowd({ port: httpPort, connections: 1000, text: '\x16\x03\x01\x02\x00\x01' });
  const dispatcher = new Agent({ connect: { ca } });
  try {
    await expect.poll(() => request(`https://127.0.0.1:${httpPort}/healthz`, { dispatcher })
      .then(({ statusCode }) => statusCode, () => 0), { timeout: patienceMs }).toBe(200);
    expect(await peakMemoryMb(entry.process.pid!)).toBeLessThan(memoryMb);
  } finally {
    crowd.close();
    await dispatcher.close();
    await rm(directory, { recursive: true });
  }
});
