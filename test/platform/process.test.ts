/** The bundled gateway process as the platform runs it, with a settings file and signals. */
import { spawn } from 'node:child_process';
import { writeFile } from 'node:fs/promises';
import { join } from 'node:path';
import {
  afterAll, beforeAll, expect, test,
} from 'vitest';
import {
  operatorConfig, startStore, startTarget, type StoreStandIn, type TargetStandIn,
} from '@verbenashunt/platform/stand-in';
import { callGateway, streamHeaders } from '../support/gateway-fixture.js';
import {
  buildGatewayProgram, expectReadiness, readinessStatus, rewriteSettings, type GatewayProgram,
} from '../support/gateway-process.js';
import { callRaw } from '../support/raw-caller.js';
import { startSteadyCallers } from '../support/steady-callers.js';
import { wait } from '../support/timing.js';

let program: GatewayProgram;
let store: StoreStandIn;
let engine: TargetStandIn;

const startGatewayProcess = () => program.start(store.address);

beforeAll(async () => {
  program = await buildGatewayProgram();
  store = await startStore();
  engine = Object.assign(await startTarget({
    id: 'engine', kind: 'card', events: 60, eventMs: 20,
  }), { held: { from: 0, to: 8, version: 1 } });
  store.put('servers', 'engine', engine.row('pool'));
});

afterAll(async () => {
  await Promise.all([store.close(), engine.close()]);
  await program.remove();
});

test('is not ready without a configuration; SIGTERM completes running requests before the exit', async () => {
  const gateway = await startGatewayProcess();
  await expectReadiness(gateway).toBe(503);
  expect((await callGateway(gateway.frontPort)).status).toBe(503);
  store.put('op', 'config', operatorConfig(1));
  await expectReadiness(gateway).toBe(200);
  const stream = callGateway(gateway.frontPort, {
    method: 'POST', path: '/chat/x', body: 'prompt', headers: { ...streamHeaders, 'request-deadline-ms': '5000' },
  });
  await expect.poll(() => engine.ran.length).toBe(1);
  gateway.child.kill('SIGTERM');
  await expectReadiness(gateway).not.toBe(200);
  expect((await stream).isComplete).toBe(true);
  const stoppedAt = performance.now();
  expect(await gateway.exit).toBe(0);
  expect(performance.now() - stoppedAt).toBeLessThan(2500);
});

test('SIGHUP reloads the settings; invalid ones leave the previous ones in force', async () => {
  const gateway = await startGatewayProcess();
  await expectReadiness(gateway).toBe(200);
  await rewriteSettings(gateway, store.address, { graceS: 2 });
  gateway.child.kill('SIGHUP');
  await expect.poll(gateway.output).toContain('"graceMs":2000');
  await writeFile(gateway.settingsFile, 'node = ');
  gateway.child.kill('SIGHUP');
  await expect.poll(gateway.output).toContain('settings not read again');
  expect(await readinessStatus(gateway)).toBe(200);
  gateway.child.kill('SIGTERM');
  expect(await gateway.exit).toBe(0);
});

test('a stream that outlasts the grace time is cut off, and the process exits in time', async () => {
  const gateway = await startGatewayProcess();
  await expectReadiness(gateway).toBe(200);
  engine.pauseAfter = 1;
  const stream = callGateway(gateway.frontPort, {
    method: 'POST', path: '/once/x', body: 'prompt', headers: { ...streamHeaders, 'request-deadline-ms': '9000' },
  });
  await expect.poll(() => engine.ran.length).toBe(2);
  const startedAt = performance.now();
  gateway.child.kill('SIGTERM');
  expect((await stream).isComplete).toBe(false);
  expect(await gateway.exit).toBe(1);
  expect(performance.now() - startedAt).toBeLessThan(3000);
  engine.pauseAfter = undefined;
});

// Guards against part of a stream that ends for its caller like a whole one.
test('a stream without a length or chunks does not look whole when the process is killed', async () => {
  const gateway = await startGatewayProcess();
  await expectReadiness(gateway).toBe(200);
  engine.behaviour = 'unframed-stream';
  const runsBefore = engine.ran.length;
  const answer = callRaw(gateway.frontPort, {
    path: '/once/x',
    body: 'prompt',
    headers: {
      ...streamHeaders, 'request-id': 'killed', 'request-deadline-ms': '5000', authorization: 'Bearer key-1',
    },
  });
  await expect.poll(() => engine.ran.length).toBe(runsBefore + 1);
  await wait(200);
  gateway.child.kill('SIGKILL');
  const { status, body, isEnded } = await answer;
  expect({ status, isEnded }).toEqual({ status: 200, isEnded: false });
  expect(body).toContain('id: 1\n');
  await gateway.exit;
  engine.behaviour = 'answer';
});

test('a second SIGTERM cuts off nothing under 20 connections that keep sending', async () => {
  const app = await startTarget({ id: 'app' });
  store.put('servers', 'app', app.row('app'));
  const gateway = await startGatewayProcess();
  await expectReadiness(gateway).toBe(200);
  const callers = startSteadyCallers(gateway.frontPort, 20);
  await expect.poll(() => callers.statuses.get(200) ?? 0).toBeGreaterThan(20);
  gateway.child.kill('SIGTERM');
  await expectReadiness(gateway).not.toBe(200);
  gateway.child.kill('SIGTERM');
  expect(await gateway.exit).toBe(0);
  await callers.ended;
  expect(callers.cut).toEqual([]);
  store.remove('servers', 'app');
  await app.close();
});

test('invalid settings at the start: one line on stderr and exit code 2', async () => {
  const file = join(program.dir, 'faulty.toml');
  await writeFile(file, 'node = "a"');
  const child = spawn(process.execPath, [program.bundleFile], { env: { VERBENASHUNT_BOOT: file } });
  let output = '';
  child.stderr.on('data', (text) => {
    output += text;
  });
  expect(await new Promise((resolve) => {
    child.once('exit', resolve);
  })).toBe(2);
  expect(output).toMatch(/^VERBENASHUNT_BOOT.*settings file is not valid.*\n$/);
});
