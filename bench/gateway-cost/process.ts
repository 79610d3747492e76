/** Starts the bundled gateway as its own process, with the command of deploy/system.toml. */
import { spawn } from 'node:child_process';
import { readFileSync } from 'node:fs';
import { readFile, writeFile } from 'node:fs/promises';
import { request } from 'node:http';
import { join } from 'node:path';
import { fileURLToPath, pathToFileURL } from 'node:url';
import { parse } from 'smol-toml';
import { freePort } from '@verbenashunt/stand-ins';
import { readStats, sleep } from '../capacity/process-stats.js';

const root = fileURLToPath(new URL('../..', import.meta.url));
const probe = pathToFileURL(join(root, 'bench/gateway-cost/probe.mjs')).href;
const host = '127.0.0.1';
const readinessPollMs = 5;
const bytesPerKilobyte = 1024;
const bytesPerMegabyte = 1024 * 1024;

export interface ProbeResults {
  collections: number;
  collectionMs: number;
  longestCollectionMs: number;
  longDelays: number;
  longestDelayMs: number;
}

export interface GatewayProcess {
  frontPort: number;
  pid: number;
  /** Processor time and time from the start until the gateway was ready. */
  ready: { cpuMs: number; ms: number };
  peakMegabytes(): number;
  /** Text of the gateway's metrics. */
  metrics(): Promise<string>;
  /** Stops it with SIGTERM and returns what the probe measured. */
  stop(): Promise<ProbeResults>;
}

const settingsText = (storeAddress: string, ports: readonly number[]) => `
node = "entry-1"
zone = "zone-a"
region = "region"
ip = "${host}"
internalPorts = [${ports[2]}, ${ports[2]}]
[listen]
front = "${host}:${ports[0]}"
readyAddr = "${host}:${ports[1]}"
[bounds]
drainMs = 2000
graceS = 3
configApplyMs = 2000
retryBudgetRatio = 0.2
budgetWindowS = 10
budgetExtra = 100
[platform]
address = "${storeAddress}"
`;

interface Answer {
  status: number;
  body: string;
}

/** Sends a GET; status 0 if there is no answer. */
const get = (port: number, path: string) => new Promise<Answer>((resolve) => {
  let body = '';
  request({
    host, port, path, agent: false,
  }, (res) => {
    res.setEncoding('utf8').on('data', (text: string) => {
      body += text;
    });
    res.on('close', () => resolve({ status: res.statusCode!, body }));
  }).on('error', () => resolve({ status: 0, body: '' })).end();
});

async function isReady(port: number): Promise<boolean> {
  return (await get(port, '/api/readiness')).status === 200;
}

/** Arguments of node in the `run` command of the deployment, with `bundleFile` if it is given. */
async function deployedArgs(bundleFile?: string): Promise<string[]> {
  const system = parse(await readFile(join(root, 'deploy/system.toml'), 'utf8')) as unknown as {
    roles: { entry: { run: string } };
  };
  const args = system.roles.entry.run.split(' ').slice(1);
  return bundleFile ? [...args.slice(0, -1), bundleFile] : args;
}

export async function startGatewayProcess(
  storeAddress: string,
  { dir, bundleFile, extraArgs }: {
    dir: string; bundleFile: string | undefined; extraArgs: readonly string[];
  },
): Promise<GatewayProcess> {
  const ports = [await freePort(), await freePort(), await freePort()] as const;
  const settingsFile = join(dir, 'settings.toml');
  const probeFile = join(dir, 'probe.json');
  await writeFile(settingsFile, settingsText(storeAddress, ports));
  const startedAt = performance.now();
  const child = spawn(process.execPath, ['--import', probe, ...extraArgs, ...await deployedArgs(bundleFile)], {
    cwd: root,
    env: { VERBENASHUNT_BOOT: settingsFile, GATEWAY_COST_FILE: probeFile },
    stdio: ['ignore', 'ignore', 'inherit'],
  });
  const pid = child.pid!;
  const exit = new Promise((resolve) => {
    child.once('exit', resolve);
  });
  while (!await isReady(ports[1])) {
    if (child.exitCode !== null) throw new Error(`the gateway exited with status ${child.exitCode}`);
    await sleep(readinessPollMs);
  }
  const ready = { cpuMs: readStats(pid).cpuMs, ms: performance.now() - startedAt };
  return {
    frontPort: ports[0],
    pid,
    ready,
    peakMegabytes() {
      const [, kilobytes] = /VmHWM:\s+(\d+)/.exec(readFileSync(`/proc/${pid}/status`, 'utf8')) ?? [];
      return (Number(kilobytes) * bytesPerKilobyte) / bytesPerMegabyte;
    },
    metrics: async () => (await get(ports[2], '/metrics')).body,
    async stop() {
      child.kill('SIGTERM');
      await exit;
      return JSON.parse(await readFile(probeFile, 'utf8')) as ProbeResults;
    },
  };
}
