/** Starts the gateway as the deploy file does, and keeps the record and the verdict of a case. */
import { spawn } from 'node:child_process';
import {
  mkdtemp, readFile, rm, writeFile,
} from 'node:fs/promises';
import { createServer, get } from 'node:http';
import { tmpdir } from 'node:os';
import { dirname, join } from 'node:path';
import { fileURLToPath } from 'node:url';
import { startStore } from '@verbenashunt/platform/stand-in';

const root = fileURLToPath(new URL('../..', import.meta.url));
const exitBroken = 1;
const exitUnable = 2;
const startTimeoutMs = 20_000;
const pollMs = 50;
const probeTimeoutMs = 1000;
const statusOk = 200;
const minPort = 12_000;
const portCount = 18_000;

export const sleep = (ms) => new Promise((resolve) => {
  setTimeout(resolve, ms);
});

/** Calls `step` with 0 to `count - 1`, one after the other. */
export async function repeat(count, step, i = 0) {
  if (i >= count) return;
  await step(i);
  await repeat(count, step, i + 1);
}

/** Resolves to whether `check` became true in time. */
export async function until(check, timeoutMs, startedAt = performance.now()) {
  if (await check()) return true;
  if (performance.now() - startedAt > timeoutMs) return false;
  await sleep(pollMs);
  return until(check, timeoutMs, startedAt);
}

/** Lines of what was sent, answered and run, with the milliseconds since the start. */
function createRecord() {
  const lines = [];
  const startedAt = performance.now();
  return {
    add: (text) => lines.push(`${(performance.now() - startedAt).toFixed(1).padStart(9)} ${text}`),
    save: (folder) => writeFile(join(folder, 'record.txt'), `${lines.join('\n')}\n`),
  };
}

const canListen = (port) => new Promise((resolve) => {
  const server = createServer().once('error', () => resolve(false));
  server.listen(port, '127.0.0.1', () => server.close(() => resolve(true)));
});

/** First of `count` free ports in a row, below those that the system gives out by itself. */
async function freePorts(count) {
  const first = minPort + Math.floor(Math.random() * portCount);
  const free = await Promise.all(Array.from({ length: count }, (_, i) => canListen(first + i)));
  return free.every(Boolean) ? first : freePorts(count);
}

/** Resolves to the status of a GET request; 0 if there was no answer. */
const statusOf = (port, path) => new Promise((resolve) => {
  const req = get({
    host: '127.0.0.1', port, path, agent: false, timeout: probeTimeoutMs,
  }, (res) => {
    res.resume();
    resolve(res.statusCode);
  });
  req.on('timeout', () => req.destroy());
  req.on('error', () => resolve(0));
});

const settingsOf = ({
  node, zone, front, ready, internal, storeAddress,
}) => `
node = "${node}"
role = "entry"
machineClass = "edge"
serves = ["edge"]
ip = "127.0.0.1"
zone = "${zone}"
region = "region"
internalPorts = [${internal.join(',')}]
seeds = []
bootstrap = true
discovery = "platform"
entry = "vip"
heartbeatMs = 1200
[zones]
zone-a = "region"
[listen]
front = "127.0.0.1:${front}"
readyAddr = "127.0.0.1:${ready}"
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
contactMs = 3000
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
recoveryS = 12
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
rowBytes = 65536
historyS = 20
`;

/** The words of the command of the role in the deploy file. */
async function commandOf(role) {
  const text = await readFile(join(root, 'deploy/system.toml'), 'utf8');
  const [, section] = text.split(`[roles.${role}]`);
  return /^run = "([^"]+)"/m.exec(section)[1].split(' ');
}

async function startGateway({
  dir, node, storeAddress, record, zone = 'zone-a',
}) {
  const front = await freePorts(4);
  const ready = front + 1;
  const internal = [front + 2, front + 3];
  const file = join(dir, `${node}.toml`);
  await writeFile(file, settingsOf({
    node, zone, front, ready, internal, storeAddress,
  }));
  const [program, ...args] = await commandOf('entry');
  const gateway = {
    node, front, ready, file, log: [], child: undefined, exits: [],
  };

  /** Starts the process; it is not started again when it ends. */
  function start() {
    const child = spawn(program === 'node' ? process.execPath : program, args, {
      cwd: root, env: { VERBENASHUNT_BOOT: file }, stdio: ['ignore', 'pipe', 'pipe'],
    });
    let rest = '';
    const take = (text) => {
      const texts = (rest + text).split('\n');
      rest = texts.pop();
      gateway.log.push(...texts);
    };
    child.stdout.on('data', take);
    child.stderr.on('data', take);
    child.once('exit', (code, signal) => {
      gateway.exits.push({ code, signal });
      record.add(`${node} ended: code ${code}, signal ${signal}`);
    });
    gateway.child = child;
    record.add(`${node} started as process ${child.pid}`);
  }

  start();
  return Object.assign(gateway, {
    start,
    isRunning: () => gateway.child.exitCode === null && gateway.child.signalCode === null,
    isReady: async () => await statusOf(ready, '/api/readiness') === statusOk,
    signal(name) {
      record.add(`${node} gets ${name}`);
      gateway.child.kill(name);
    },
  });
}

/**
 * Runs a case: `play` gets the means and resolves to sentences on how the rule was broken. It
 * throws if the case could not run.
 */
export async function runCase(url, play) {
  const folder = dirname(fileURLToPath(url));
  const record = createRecord();
  const dir = await mkdtemp(join(tmpdir(), 'review-'));
  const store = await startStore();
  const gateways = [];
  const closers = [];
  let exitCode = exitUnable;
  try {
    record.add(`TROUBLE is ${process.env.TROUBLE ?? 'not set'}`);
    const broken = await play({
      store,
      record,
      atEnd: (close) => closers.push(close),
      async startGateway(options) {
        const gateway = await startGateway({
          dir, storeAddress: store.address, record, ...options,
        });
        gateways.push(gateway);
        return gateway;
      },
      async waitReady(gateway) {
        if (!await until(gateway.isReady, startTimeoutMs)) throw new Error(`${gateway.node} is not ready`);
      },
    });
    broken.forEach((text) => record.add(`BROKEN: ${text}`));
    record.add(broken.length > 0 ? 'the rule was broken' : 'the rule held');
    process.stdout.write(`${broken.length > 0 ? `broken: ${broken.length} times, first: ${broken[0]}` : 'held'}\n`);
    exitCode = broken.length > 0 ? exitBroken : 0;
  } catch (err) {
    record.add(`the case could not run: ${err.stack}`);
    process.stdout.write(`could not run: ${err.message}\n`);
  }
  gateways.filter(({ isRunning }) => isRunning()).forEach(({ child }) => child.kill('SIGKILL'));
  await until(() => gateways.every(({ isRunning }) => !isRunning()), probeTimeoutMs);
  if (process.env.GATEWAY_LOG) {
    await writeFile(process.env.GATEWAY_LOG, gateways.flatMap(({ log }) => log).join('\n'));
  }
  await Promise.all(closers.map((close) => close()));
  await store.close();
  await rm(dir, { recursive: true });
  await record.save(folder);
  process.exit(exitCode); // eslint-disable-line n/no-process-exit -- open sockets would hold it up
}
