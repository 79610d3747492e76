/** The bundled gateway as a process of its own, started with a settings file. */
import { spawn, type ChildProcess } from 'node:child_process';
import { once } from 'node:events';
import {
  mkdtemp, readFile, rm, writeFile,
} from 'node:fs/promises';
import { createServer } from 'node:net';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { fileURLToPath } from 'node:url';
import { expect } from 'vitest';
import { bundle } from '../../scripts/bundle.mjs';
import { callGateway } from './gateway-fixture.js';

const root = fileURLToPath(new URL('../..', import.meta.url));

export interface ProcessSettings {
  node?: string;
  /** Time in seconds from SIGTERM until the process is killed. */
  graceS?: number;
  /** Memory of the VM in MB; its settings state none by default. */
  memoryMb?: number;
  /** Whether it serves metrics and the relay; false by default. */
  hasInternalPorts?: boolean;
  /** Options of Node.js. */
  nodeArgs?: readonly string[];
  /** Maximum number of open file descriptors; that of the test's process by default. */
  maxDescriptors?: number;
}

/** Returns a command and its arguments that run Node.js with a limit on its descriptors. */
function nodeCommand({ maxDescriptors, nodeArgs = [] }: ProcessSettings): [string, string[]] {
  if (maxDescriptors === undefined) return [process.execPath, [...nodeArgs]];
  return ['bash', ['-c', `ulimit -n ${maxDescriptors} && exec "$0" "$@"`, process.execPath, ...nodeArgs]];
}

/** Options of Node.js with which the deployment file runs the gateway. */
export async function deployedNodeArgs(): Promise<string[]> {
  const text = await readFile(join(root, 'deploy/system.toml'), 'utf8');
  const [, args = ''] = /run = "node (.*) target/.exec(text) ?? [];
  return args.split(' ');
}

export interface GatewayProcess {
  child: ChildProcess;
  frontPort: number;
  readinessPort: number;
  /** Port for metrics; the relay has the next one. Undefined if neither is served. */
  metricsPort: number | undefined;
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

type GatewayPorts = Pick<GatewayProcess, 'frontPort' | 'readinessPort' | 'metricsPort'>;

const settingsText = (
  storeAddress: string,
  { frontPort, readinessPort, metricsPort }: GatewayPorts,
  { node = 'entry-1', graceS = 3, memoryMb }: ProcessSettings,
) => `
node = "${node}"
zone = "zone-a"
region = "region"
ip = "127.0.0.1"
unknown = "left alone"
${metricsPort === undefined ? '' : `internalPorts = [${metricsPort}, ${metricsPort + 1}]`}
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
${memoryMb === undefined ? '' : `[limits]\nmemoryMb = ${memoryMb}`}
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

/** Ports below those that the system gives to connections, as a crowd's may take any of those. */
const lowestPort = 20_000;
const highestPort = 32_000;
/** Ports of a gateway: for callers, readiness, metrics and the relay. */
const portCount = 4;

async function isFree(port: number): Promise<boolean> {
  const server = createServer().listen(port, '127.0.0.1');
  const isListening = await once(server, 'listening').then(() => true, () => false);
  server.close();
  return isListening;
}

/** Resolves to the first of `portCount` consecutive ports that are free now. */
async function freePorts(): Promise<number> {
  const first = lowestPort + Math.floor(Math.random() * (highestPort - lowestPort));
  const areFree = await Promise.all(Array.from({ length: portCount }, (_, i) => isFree(first + i)));
  return areFree.every(Boolean) ? first : freePorts();
}

/** Bundles the gateway, as a deployment does. */
export async function buildGatewayProgram(): Promise<GatewayProgram> {
  const dir = await mkdtemp(join(tmpdir(), 'verbenashunt-daemon-'));
  const bundleFile = join(dir, 'daemon.mjs');
  await bundle(bundleFile);
  return {
    dir,
    bundleFile,
    async start(storeAddress, settings = {}) {
      const firstPort = await freePorts();
      const ports = {
        frontPort: firstPort,
        readinessPort: firstPort + 1,
        metricsPort: settings.hasInternalPorts ? firstPort + 2 : undefined,
      };
      const settingsFile = join(dir, `settings-${ports.frontPort}.toml`);
      await writeFile(settingsFile, settingsText(storeAddress, ports, settings));
      const [command, args] = nodeCommand(settings);
      const child = spawn(command, [...args, bundleFile], {
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
