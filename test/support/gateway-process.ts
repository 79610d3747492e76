/** The bundled gateway as a process of its own, started with a settings file. */
import { spawn, type ChildProcess } from 'node:child_process';
import { mkdtemp, rm, writeFile } from 'node:fs/promises';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { fileURLToPath } from 'node:url';
import { expect } from 'vitest';
import { freePort } from '@verbenashunt/stand-ins';
import { bundle } from '../../scripts/bundle.mjs';
import { callGateway } from './gateway-fixture.js';

const root = fileURLToPath(new URL('../..', import.meta.url));

export interface ProcessSettings {
  node?: string;
  /** Time in seconds from SIGTERM until the process is killed. */
  graceS?: number;
}

export interface GatewayProcess {
  child: ChildProcess;
  frontPort: number;
  readinessPort: number;
  settingsFile: string;
  output(): string;
  /** Resolves to the exit code. */
  exit: Promise<number | null>;
}

export interface GatewayProgram {
  /** Folder of the bundle and the settings files. */
  readonly dir: string;
  readonly bundleFile: string;
  start(storeAddress: string, settings?: ProcessSettings): Promise<GatewayProcess>;
  remove(): Promise<void>;
}

const settingsText = (
  storeAddress: string,
  { frontPort, readinessPort }: Pick<GatewayProcess, 'frontPort' | 'readinessPort'>,
  { node = 'entry-1', graceS = 3 }: ProcessSettings,
) => `
node = "${node}"
zone = "zone-a"
region = "region"
ip = "127.0.0.1"
unknown = "left alone"
[listen]
front = "127.0.0.1:${frontPort}"
readyAddr = "127.0.0.1:${readinessPort}"
[bounds]
drainMs = 2000
graceS = ${graceS}
configApplyMs = 2000
retryBudgetRatio = 0.2
budgetWindowS = 10
budgetExtra = 100
[platform]
address = "${storeAddress}"
`;

/** Writes the settings of a process again; it reads them on SIGHUP. */
export const rewriteSettings = (
  gateway: GatewayProcess,
  storeAddress: string,
  settings: ProcessSettings,
) => writeFile(gateway.settingsFile, settingsText(storeAddress, gateway, settings));

export async function readinessStatus({ readinessPort }: GatewayProcess): Promise<number> {
  const { status } = await callGateway(readinessPort, { path: '/api/readiness' });
  return status;
}

export const expectReadiness = (gateway: GatewayProcess) => expect
  .poll(() => readinessStatus(gateway), { timeout: 10_000 });

/** Bundles the gateway, as a deployment does. */
export async function buildGatewayProgram(): Promise<GatewayProgram> {
  const dir = await mkdtemp(join(tmpdir(), 'verbenashunt-daemon-'));
  const bundleFile = join(dir, 'daemon.mjs');
  await bundle(bundleFile);
  return {
    dir,
    bundleFile,
    async start(storeAddress, settings = {}) {
      const ports = { frontPort: await freePort(), readinessPort: await freePort() };
      const settingsFile = join(dir, `settings-${ports.frontPort}.toml`);
      await writeFile(settingsFile, settingsText(storeAddress, ports, settings));
      const child = spawn(process.execPath, [bundleFile], {
        cwd: root, env: { VERBENASHUNT_BOOT: settingsFile }, stdio: ['ignore', 'pipe', 'pipe'],
      });
      let output = '';
      [child.stdout, child.stderr].forEach((stream) => stream.on('data', (text) => {
        output += text;
      }));
      return {
        ...ports,
        child,
        settingsFile,
        output: () => output,
        exit: new Promise((resolve) => {
          child.once('exit', resolve);
        }),
      };
    },
    remove: () => rm(dir, { recursive: true }),
  };
}
