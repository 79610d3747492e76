/**
 * What entry and agents add to the engines' own time, and what one entry process carries.
 * Both are measured in the same run; the engines need no time for a layer.
 */
import { spawn } from 'node:child_process';
import { mkdir, readFile, writeFile } from 'node:fs/promises';
import { fileURLToPath } from 'node:url';
import { build, type Histogram } from 'hdr-histogram-js';
import { startCluster, type Cluster } from '@verbenashunt/stand-ins';
import { openDirectChain } from './support/direct-chain.js';
import { openStreamClient } from './support/stream-client.js';

const at = (path: string) => fileURLToPath(new URL(path, import.meta.url));
const declarations = at('./fixtures/path');
const key = 'bench-key';
const model = 'm';
const layers = 12;
const microsecondsPerMs = 1000;
const clockTicksPerSecond = 100;

const latencyRequests = 300;
const latencyTokens = 64;
const latencyWarmUp = 50;

const pairs = 4;
const loadWorkers = 2;
const streamsPerWorker = 100;
const loadTokens = 400;
const warmUpMs = 3000;
const measureMs = 8000;

const wholeModel = { lo: 0, hi: layers };

const targets = {
  firstTokenMs: 5, tokenMs: 1, requestsPerSecond: 100, tokensPerSecond: 45_000,
};

const common = {
  model, layers, fleet: 'bench', services: 0, entries: 1, declarations,
};

const histogram = () => build({
  highestTrackableValue: 60_000_000, numberOfSignificantValueDigits: 3,
});

interface Times {
  first: Histogram;
  gap: Histogram;
}

const createTimes = (): Times => ({ first: histogram(), gap: histogram() });

/** Records the time to the first token, and of each token after it, in microseconds. */
function recorder(times: Times) {
  let lastAt = performance.now();
  let isFirst = true;
  return (count = 1) => {
    const now = performance.now();
    const us = Math.round((now - lastAt) * microsecondsPerMs);
    if (isFirst) times.first.recordValue(us);
    else for (let i = 0; i < count; i += 1) times.gap.recordValue(Math.round(us / count));
    isFirst = false;
    lastAt = now;
  };
}

const quantiles = (h: Histogram) => ({
  p50: h.getValueAtPercentile(50) / microsecondsPerMs,
  p99: h.getValueAtPercentile(99) / microsecondsPerMs,
});

async function measureDirect(path: Cluster, ranges: { lo: number; hi: number }[]) {
  const times = createTimes();
  const engines = ranges.map((range, i) => ({ url: path.targets.get(`engine-${i + 1}`)!, ...range }));
  const chain = await openDirectChain(model, engines);
  for (let i = 0; i < latencyWarmUp + latencyRequests; i += 1) {
    const prompt = [...Buffer.from(`user: d-${i}\n`)];
    await chain.generate(`d-${i}`, prompt, latencyTokens, recorder(i < latencyWarmUp ? createTimes() : times));
  }
  await chain.close();
  return times;
}

async function measureThrough(path: Cluster) {
  const times = createTimes();
  const client = await openStreamClient(path.entries[0]!);
  for (let i = 0; i < latencyWarmUp + latencyRequests; i += 1) {
    await client.send({
      url: path.entries[0]!, key, model, maxTokens: latencyTokens, content: `t-${i}`,
    }, recorder(i < latencyWarmUp ? createTimes() : times));
  }
  client.close();
  return times;
}

async function latency() {
  const ranges = [{ lo: 0, hi: 4 }, { lo: 4, hi: 8 }, { lo: 8, hi: 12 }];
  const path = await startCluster({ ...common, engines: ranges });
  try {
    const direct = await measureDirect(path, ranges);
    const through = await measureThrough(path);
    const added = (part: keyof Times, q: 'p50' | 'p99') => (
      quantiles(through[part])[q] - quantiles(direct[part])[q]);
    return {
      direct: { first: quantiles(direct.first), gap: quantiles(direct.gap) },
      through: { first: quantiles(through.first), gap: quantiles(through.gap) },
      added: {
        first: { p50: added('first', 'p50'), p99: added('first', 'p99') },
        gap: { p50: added('gap', 'p50'), p99: added('gap', 'p99') },
      },
    };
  } finally {
    await path.stop();
  }
}

/** Processor seconds that a process has used. */
async function cpuSeconds(pid: number): Promise<number> {
  const fields = (await readFile(`/proc/${pid}/stat`, 'utf8')).split(') ')[1]!.split(' ');
  return (Number(fields[11]) + Number(fields[12])) / clockTicksPerSecond;
}

function runWorker(order: object): Promise<{ tokens: number; requests: number; failed: number }> {
  const child = spawn(process.execPath, ['--import', 'tsx', at('./support/load-worker.ts'), JSON.stringify(order)], { stdio: ['ignore', 'pipe', 'inherit'] });
  let text = '';
  child.stdout.on('data', (chunk: Buffer) => {
    text += chunk.toString();
  });
  return new Promise((resolve) => {
    child.once('close', () => resolve(JSON.parse(text)));
  });
}

const sleep = (ms: number) => new Promise((resolve) => {
  setTimeout(resolve, ms);
});

async function throughput() {
  const path = await startCluster({
    ...common,
    engines: Array.from({ length: pairs }, () => ({ ...wholeModel, flags: ['--cache-blocks', '0'] })),
    agentFlags: ['--max-active', '10000'],
  });
  try {
    const entry = path.daemons.get('entry-1')!.process.pid!;
    const order = {
      url: path.entries[0]!,
      key,
      model,
      maxTokens: loadTokens,
      streams: streamsPerWorker,
      warmUpMs,
      measureMs,
    };
    const running = Promise.all(Array.from({ length: loadWorkers }, () => runWorker(order)));
    await sleep(warmUpMs);
    const before = await cpuSeconds(entry);
    await sleep(measureMs);
    const cpu = await cpuSeconds(entry) - before;
    const counts = await running;
    await path.daemons.get('entry-1')!.stop();
    const sum = (part: 'tokens' | 'requests' | 'failed') => counts.reduce((n, c) => n + c[part], 0);
    const seconds = measureMs / 1000;
    return {
      tokensPerSecond: sum('tokens') / seconds,
      requestsPerSecond: sum('requests') / seconds,
      failed: sum('failed'),
      entryCpuShare: cpu / seconds,
      entryCpuUsPerToken: (cpu * 1e6) / sum('tokens'),
      tokensPerEntryCpuSecond: sum('tokens') / cpu,
    };
  } finally {
    await path.stop();
  }
}

const show = ({ p50, p99 }: { p50: number; p99: number }) => `p50 ${p50.toFixed(2)} ms, p99 ${p99.toFixed(2)} ms`;

function printLatency({ direct, through, added }: Awaited<ReturnType<typeof latency>>) {
  console.log(`first token: engines alone ${show(direct.first)}; through the path ${show(through.first)}; added ${show(added.first)} (target p99 <= ${targets.firstTokenMs} ms)`);
  console.log(`each token: engines alone ${show(direct.gap)}; through the path ${show(through.gap)}; added ${show(added.gap)} (target p99 <= ${targets.tokenMs} ms)`);
}

function printThroughput(t: Awaited<ReturnType<typeof throughput>>) {
  console.log(`one entry: ${t.tokensPerSecond.toFixed(0)} tokens/s (target ${targets.tokensPerSecond}), ${t.requestsPerSecond.toFixed(0)} requests/s (target ${targets.requestsPerSecond}), ${t.failed} failed`);
  console.log(`entry processor: ${(t.entryCpuShare * 100).toFixed(0)}% of a core, ${t.entryCpuUsPerToken.toFixed(1)} us per token, ${t.tokensPerEntryCpuSecond.toFixed(0)} tokens per processor second`);
}

/** With an argument only the part of that name runs. */
const part = process.argv[2];
const figures = {
  ...(part === 'throughput' ? {} : { latency: await latency() }),
  ...(part === 'latency' ? {} : { throughput: await throughput() }),
};
if (figures.latency) printLatency(figures.latency);
if (figures.throughput) printThroughput(figures.throughput);
await mkdir(at('./out'), { recursive: true });
await writeFile(at('./out/path.json'), `${JSON.stringify(figures, null, 2)}\n`);
