/**
 * Measures the latency that an entry and its agents add to the engines' own time, and the
 * throughput of one entry process. The stand-in engines spend no time on a layer. Run by
 * `npm run bench:path`.
 */
import { spawn } from 'node:child_process';
import { mkdir, readFile, writeFile } from 'node:fs/promises';
import { fileURLToPath } from 'node:url';
import { build, type Histogram } from 'hdr-histogram-js';
import { startCluster, type Cluster } from '@verbenashunt/stand-ins';
import { openDirectChain } from './support/direct-chain.js';
import { openStreamClient } from './support/stream-client.js';

const resolvePath = (path: string) => fileURLToPath(new URL(path, import.meta.url));
const declarations = resolvePath('./fixtures/path');
const key = 'bench-key';
const model = 'm';
const layers = 12;
const microsecondsPerMs = 1000;
const clockTicksPerSecond = 100;

const latencyRequests = 300;
const latencyTokens = 64;
const latencyWarmUpRequests = 50;

const engineCount = 4;
const loadWorkers = 2;
const streamsPerWorker = 100;
const loadTokens = 400;
const warmUpMs = 3000;
const measurementMs = 8000;

const allLayers = { lo: 0, hi: layers };

const performanceTargets = {
  firstTokenMs: 5, tokenMs: 1, requestsPerSecond: 100, tokensPerSecond: 45_000,
};

const commonOptions = {
  model, layers, fleet: 'bench', services: 0, entries: 1, declarations,
};

const createHistogram = () => build({
  highestTrackableValue: 60_000_000, numberOfSignificantValueDigits: 3,
});

interface LatencyHistograms {
  /** Time to the first token, in microseconds. */
  first: Histogram;
  /** Time between tokens, in microseconds. */
  gap: Histogram;
}

const createHistograms = (): LatencyHistograms => ({
  first: createHistogram(), gap: createHistogram(),
});

/** Returns a callback for received tokens that records their latencies. */
function createTokenRecorder(times: LatencyHistograms) {
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

async function measureEngines(cluster: Cluster, ranges: { lo: number; hi: number }[]) {
  const times = createHistograms();
  const engines = ranges.map((range, i) => ({ url: cluster.targets.get(`engine-${i + 1}`)!, ...range }));
  const chain = await openDirectChain(model, engines);
  for (let i = 0; i < latencyWarmUpRequests + latencyRequests; i += 1) {
    const prompt = [...Buffer.from(`user: d-${i}\n`)];
    await chain.generate(`d-${i}`, prompt, latencyTokens, createTokenRecorder(i < latencyWarmUpRequests ? createHistograms() : times));
  }
  await chain.close();
  return times;
}

async function measureThroughEntry(cluster: Cluster) {
  const times = createHistograms();
  const client = await openStreamClient(cluster.entries[0]!);
  for (let i = 0; i < latencyWarmUpRequests + latencyRequests; i += 1) {
    await client.send({
      url: cluster.entries[0]!, key, model, maxTokens: latencyTokens, content: `t-${i}`,
    }, createTokenRecorder(i < latencyWarmUpRequests ? createHistograms() : times));
  }
  client.close();
  return times;
}

async function measureLatency() {
  const ranges = [{ lo: 0, hi: 4 }, { lo: 4, hi: 8 }, { lo: 8, hi: 12 }];
  const cluster = await startCluster({ ...commonOptions, engines: ranges });
  try {
    const direct = await measureEngines(cluster, ranges);
    const through = await measureThroughEntry(cluster);
    const addedMs = (part: keyof LatencyHistograms, q: 'p50' | 'p99') => (
      quantiles(through[part])[q] - quantiles(direct[part])[q]);
    return {
      direct: { first: quantiles(direct.first), gap: quantiles(direct.gap) },
      through: { first: quantiles(through.first), gap: quantiles(through.gap) },
      added: {
        first: { p50: addedMs('first', 'p50'), p99: addedMs('first', 'p99') },
        gap: { p50: addedMs('gap', 'p50'), p99: addedMs('gap', 'p99') },
      },
    };
  } finally {
    await cluster.stop();
  }
}

/** CPU seconds that a process has used. */
async function cpuSeconds(pid: number): Promise<number> {
  const fields = (await readFile(`/proc/${pid}/stat`, 'utf8')).split(') ')[1]!.split(' ');
  return (Number(fields[11]) + Number(fields[12])) / clockTicksPerSecond;
}

function runWorker(options: object): Promise<{ tokens: number; requests: number; failed: number }> {
  const child = spawn(process.execPath, ['--import', 'tsx', resolvePath('./support/load-worker.ts'), JSON.stringify(options)], { stdio: ['ignore', 'pipe', 'inherit'] });
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

async function measureThroughput() {
  const cluster = await startCluster({
    ...commonOptions,
    engines: Array.from({ length: engineCount }, () => ({ ...allLayers, flags: ['--cache-blocks', '0'] })),
    agentFlags: ['--max-active', '10000'],
  });
  try {
    const entryPid = cluster.daemons.get('entry-1')!.process.pid!;
    const workerOptions = {
      url: cluster.entries[0]!,
      key,
      model,
      maxTokens: loadTokens,
      streams: streamsPerWorker,
      warmUpMs,
      measurementMs,
    };
    const running = Promise.all(Array.from(
      { length: loadWorkers },
      () => runWorker(workerOptions),
    ));
    await sleep(warmUpMs);
    const cpuSecondsBefore = await cpuSeconds(entryPid);
    await sleep(measurementMs);
    const entryCpuSeconds = await cpuSeconds(entryPid) - cpuSecondsBefore;
    const workerCounts = await running;
    await cluster.daemons.get('entry-1')!.stop();
    const total = (part: 'tokens' | 'requests' | 'failed') => workerCounts.reduce((n, c) => n + c[part], 0);
    const seconds = measurementMs / 1000;
    return {
      tokensPerSecond: total('tokens') / seconds,
      requestsPerSecond: total('requests') / seconds,
      failed: total('failed'),
      entryCpuShare: entryCpuSeconds / seconds,
      entryCpuUsPerToken: (entryCpuSeconds * 1e6) / total('tokens'),
      tokensPerEntryCpuSecond: total('tokens') / entryCpuSeconds,
    };
  } finally {
    await cluster.stop();
  }
}

const formatQuantiles = ({ p50, p99 }: { p50: number; p99: number }) => `p50 ${p50.toFixed(2)} ms, p99 ${p99.toFixed(2)} ms`;

function printLatency({ direct, through, added }: Awaited<ReturnType<typeof measureLatency>>) {
  console.log(`first token: engines only ${formatQuantiles(direct.first)}; through entry and agents ${formatQuantiles(through.first)}; added ${formatQuantiles(added.first)} (target p99 <= ${performanceTargets.firstTokenMs} ms)`);
  console.log(`between tokens: engines only ${formatQuantiles(direct.gap)}; through entry and agents ${formatQuantiles(through.gap)}; added ${formatQuantiles(added.gap)} (target p99 <= ${performanceTargets.tokenMs} ms)`);
}

function printThroughput(result: Awaited<ReturnType<typeof measureThroughput>>) {
  console.log(`one entry: ${result.tokensPerSecond.toFixed(0)} tokens/s (target ${performanceTargets.tokensPerSecond}), ${result.requestsPerSecond.toFixed(0)} requests/s (target ${performanceTargets.requestsPerSecond}), ${result.failed} failed`);
  console.log(`entry CPU: ${(result.entryCpuShare * 100).toFixed(0)}% of a core, ${result.entryCpuUsPerToken.toFixed(1)} us per token, ${result.tokensPerEntryCpuSecond.toFixed(0)} tokens per CPU second`);
}

/** `latency` or `throughput`; without an argument both parts run. */
const selectedPart = process.argv[2];
const results = {
  ...(selectedPart === 'throughput' ? {} : { latency: await measureLatency() }),
  ...(selectedPart === 'latency' ? {} : { throughput: await measureThroughput() }),
};
if (results.latency) printLatency(results.latency);
if (results.throughput) printThroughput(results.throughput);
await mkdir(resolvePath('./out'), { recursive: true });
await writeFile(resolvePath('./out/path.json'), `${JSON.stringify(results, null, 2)}\n`);
