/** The daemon as the platform starts it: a bundle, a settings file, signals. */
import { spawn, type ChildProcess } from 'node:child_process';
import { mkdtemp, rm, writeFile } from 'node:fs/promises';
import { createServer, type AddressInfo } from 'node:net';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { fileURLToPath } from 'node:url';
import {
  afterAll, beforeAll, expect, test,
} from 'vitest';
import {
  operatorConfig, startStore, startTarget, type StoreStandIn, type TargetStandIn,
} from '@verbenashunt/platform/stand-in';
import { bundle } from '../../scripts/bundle.mjs';
import { callGateway, streamHeaders } from '../support/gateway-fixture.js';

const root = fileURLToPath(new URL('../..', import.meta.url));
let dir: string;
let store: StoreStandIn;
let engine: TargetStandIn;

async function freePort(): Promise<number> {
  const server = createServer().listen(0, '127.0.0.1');
  await new Promise((resolve) => {
    server.once('listening', resolve);
  });
  const { port } = server.address() as AddressInfo;
  await new Promise((resolve) => {
    server.close(resolve);
  });
  return port;
}

const settingsText = (front: number, ready: number, graceS = 3) => `
node = "entry-1"
zone = "zone-a"
region = "region"
ip = "127.0.0.1"
unknown = "left alone"
[listen]
front = "127.0.0.1:${front}"
readyAddr = "127.0.0.1:${ready}"
[bounds]
drainMs = 2000
graceS = ${graceS}
configApplyMs = 2000
retryBudgetRatio = 0.2
budgetWindowS = 10
budgetExtra = 100
[platform]
address = "${store.address}"
`;

interface Daemon {
  child: ChildProcess;
  front: number;
  ready: number;
  file: string;
  output(): string;
  exit: Promise<number | null>;
}

async function startDaemon(): Promise<Daemon> {
  const [front, ready] = [await freePort(), await freePort()];
  const file = join(dir, `settings-${front}.toml`);
  await writeFile(file, settingsText(front, ready));
  const child = spawn(process.execPath, [join(dir, 'daemon.mjs')], {
    cwd: root, env: { VERBENASHUNT_BOOT: file }, stdio: ['ignore', 'pipe', 'pipe'],
  });
  let output = '';
  [child.stdout, child.stderr].forEach((stream) => stream.on('data', (text) => {
    output += text;
  }));
  return {
    child,
    front,
    ready,
    file,
    output: () => output,
    exit: new Promise((resolve) => {
      child.once('exit', resolve);
    }),
  };
}

const readiness = async (port: number) => (await callGateway(port, { path: '/api/readiness' })).status;
const isReady = (daemon: Daemon) => expect.poll(() => readiness(daemon.ready), { timeout: 10_000 });

beforeAll(async () => {
  dir = await mkdtemp(join(tmpdir(), 'verbenashunt-daemon-'));
  await bundle(join(dir, 'daemon.mjs'));
  store = await startStore();
  engine = Object.assign(await startTarget({
    id: 'engine', kind: 'card', events: 60, eventMs: 20,
  }), { held: { from: 0, to: 8, version: 1 } });
  store.put('servers', 'engine', engine.row('pool'));
});

afterAll(async () => {
  await Promise.all([store.close(), engine.close()]);
  await rm(dir, { recursive: true });
});

test('not ready and 503 without a configuration, then ready; SIGTERM ends it once all is answered', async () => {
  const daemon = await startDaemon();
  await isReady(daemon).toBe(503);
  expect((await callGateway(daemon.front)).status).toBe(503);
  store.put('op', 'config', operatorConfig(1));
  await isReady(daemon).toBe(200);
  const stream = callGateway(daemon.front, {
    method: 'POST', path: '/chat/x', body: 'prompt', headers: { ...streamHeaders, 'request-deadline-ms': '5000' },
  });
  await expect.poll(() => engine.ran.length).toBe(1);
  daemon.child.kill('SIGTERM');
  await isReady(daemon).not.toBe(200);
  expect((await stream).isComplete).toBe(true);
  const stoppedAt = performance.now();
  expect(await daemon.exit).toBe(0);
  expect(performance.now() - stoppedAt).toBeLessThan(2500);
});

test('SIGHUP reads the settings again; faulty ones leave the old in force', async () => {
  const daemon = await startDaemon();
  await isReady(daemon).toBe(200);
  await writeFile(daemon.file, settingsText(daemon.front, daemon.ready, 2));
  daemon.child.kill('SIGHUP');
  await expect.poll(daemon.output).toContain('"graceMs":2000');
  await writeFile(daemon.file, 'node = ');
  daemon.child.kill('SIGHUP');
  await expect.poll(daemon.output).toContain('settings not read again');
  expect(await readiness(daemon.ready)).toBe(200);
  daemon.child.kill('SIGTERM');
  expect(await daemon.exit).toBe(0);
});

test('a stream that outlasts the grace time is cut, and the process still ends within it', async () => {
  const daemon = await startDaemon();
  await isReady(daemon).toBe(200);
  engine.pauseAfter = 1;
  const stream = callGateway(daemon.front, {
    method: 'POST', path: '/once/x', body: 'prompt', headers: { ...streamHeaders, 'request-deadline-ms': '9000' },
  });
  await expect.poll(() => engine.ran.length).toBe(2);
  const startedAt = performance.now();
  daemon.child.kill('SIGTERM');
  expect((await stream).isComplete).toBe(false);
  expect(await daemon.exit).toBe(1);
  expect(performance.now() - startedAt).toBeLessThan(3000);
  engine.pauseAfter = undefined;
});

test('faulty settings at the start: one line and exit code 2', async () => {
  const file = join(dir, 'faulty.toml');
  await writeFile(file, 'node = "a"');
  const child = spawn(process.execPath, [join(dir, 'daemon.mjs')], { env: { VERBENASHUNT_BOOT: file } });
  let output = '';
  child.stderr.on('data', (text) => {
    output += text;
  });
  expect(await new Promise((resolve) => {
    child.once('exit', resolve);
  })).toBe(2);
  expect(output).toMatch(/^VERBENASHUNT_BOOT.*settings file is not valid.*\n$/);
});
