/** Starts the gateways of a small deployment with the command of the deploy file, and a store. */
import { spawn } from 'node:child_process';
import { once } from 'node:events';
import {
  mkdtemp, readFile, rm, writeFile,
} from 'node:fs/promises';
import { get } from 'node:http';
import { createServer } from 'node:net';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { setTimeout as sleep } from 'node:timers/promises';
import { fileURLToPath } from 'node:url';
import { startStore } from '@verbenashunt/platform/stand-in';

const root = fileURLToPath(new URL('../..', import.meta.url));
const statusOk = 200;

/** Interval at which servers write their entries, as in the settings. */
export const heartbeatMs = 1200;
/** Bounds of the settings that the checks need. */
export const bounds = { recoveryS: 12, contactMs: 3000 };

/** Range of the ports that are listened on, below those that the system gives to connections. */
const firstPort = 10_000;
const portCount = 5000;
const portTries = 50;

/** Whether all of `count` ports from the first one on can be listened on. */
async function areFree(port, count) {
  const servers = Array.from({ length: count }, (_, i) => createServer().listen(port + i, '127.0.0.1'));
  const results = await Promise.all(servers.map((server) => Promise.race([
    once(server, 'listening').then(() => true), once(server, 'error').then(() => false, () => false),
  ]).catch(() => false)));
  await Promise.all(servers.map((server) => new Promise((resolve) => {
    server.close(resolve);
  })));
  return results.every(Boolean);
}

/** Finds `count` free ports in a row and returns the first one. */
export async function freePorts(count = 1, triesLeft = portTries) {
  const port = firstPort + Math.floor(Math.random() * portCount);
  if (await areFree(port, count)) return port;
  if (triesLeft === 0) throw new Error('no free port');
  return freePorts(count, triesLeft - 1);
}

/** Program and arguments of the only role of the deploy file. */
async function runCommand() {
  const text = await readFile(join(root, 'deploy/system.toml'), 'utf8');
  return /^run = "(.+)"$/m.exec(text)[1].split(' ');
}

const settingsText = ({
  node, frontPort, readyPort, internalPort, storeAddress,
}) => `node = "${node}"
role = "entry"
machineClass = "edge"
serves = ["edge"]
ip = "127.0.0.1"
zone = "zone-a"
region = "region"
internalPorts = [${internalPort}, ${internalPort + 1}]
seeds = []
bootstrap = true
discovery = "platform"
entry = "vip"
heartbeatMs = ${heartbeatMs}
contracts = ["base", "drain", "config", "cost", "retry", "recover", "engine", "stream", "tenants", "platform", "layers"]
[zones]
zone-a = "region"
[listen]
front = "127.0.0.1:${frontPort}"
readyAddr = "127.0.0.1:${readyPort}"
[limits]
cpuShare = 0.513
cores = 1
memoryMb = 350
maxFds = 4100
linkMbps = 1000.0
diskMb = 0
[bounds]
seedLagS = 3
reuseAfterS = 2
contactMs = ${bounds.contactMs}
ackMs = 4000
catchUpS = 4
drainMs = 2000
graceS = 8
lossSlackMs = 200
configApplyMs = 2000
rollbackSlackMs = 250
maxStretchMs = 5000
strictRevoke = false
revokeMs = 5000
retryBudgetRatio = 0.2
budgetWindowS = 10
budgetExtra = 198
recoveryS = ${bounds.recoveryS}
passMs = 120
retryAfterS = 0
stall_ms = 2500
enforceFencing = true
[platform]
address = "${storeAddress}"
form = "table"
writesPerS = 400
readsPerS = 2000
transactionMs = 3.0
partitionWritesS = 300
rowBytes = 65536
across = true
historyS = 20
blobBytes = 8388608
blobMs = 25.0
blobMbS = 80.0
`;

const readinessOf = (port) => new Promise((resolve) => {
  get({ host: '127.0.0.1', port, path: '/api/readiness' }, (res) => {
    res.resume();
    resolve(res.statusCode);
  }).on('error', () => resolve(0));
});

/** A gateway that can be killed and started again with the same settings. */
export async function createGateway(store, node) {
  const dir = await mkdtemp(join(tmpdir(), 'review-'));
  const settingsFile = join(dir, 'settings.toml');
  const [frontPort, readyPort] = [await freePorts(), await freePorts()];
  const internalPort = await freePorts(2);
  await writeFile(settingsFile, settingsText({
    node, frontPort, readyPort, internalPort, storeAddress: store.address,
  }));
  const [program, ...args] = await runCommand();
  let child;
  const gateway = {
    node,
    frontPort,
    /** What it wrote since its first start. */
    output: '',
    get isReady() {
      return readinessOf(readyPort).then((status) => status === statusOk);
    },
    start() {
      child = spawn(program, args, {
        cwd: root,
        env: { PATH: process.env.PATH, HOME: process.env.HOME, VERBENASHUNT_BOOT: settingsFile },
        stdio: ['ignore', 'pipe', 'pipe'],
      });
      [child.stdout, child.stderr].forEach((stream) => stream.on('data', (text) => {
        gateway.output += text;
      }));
    },
    get hasExited() {
      return child.exitCode !== null || child.signalCode !== null;
    },
    signal: (name) => child.kill(name),
    async kill() {
      if (gateway.hasExited) return;
      const exited = once(child, 'exit');
      child.kill('SIGKILL');
      await exited;
    },
    async waitUntilReady(tries = 100) {
      if (await gateway.isReady) return;
      if (tries === 0) throw new Error(`${node} did not get ready`);
      await sleep(100);
      await gateway.waitUntilReady(tries - 1);
    },
    async remove() {
      if (child) await gateway.kill();
      await rm(dir, { recursive: true });
    },
  };
  return gateway;
}

export { startStore };
