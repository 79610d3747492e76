/**
 * Recovery of an answer whose stage is lost: the gap that the caller sees, layers run again, bytes
 * moved and kept, by way and failure. The product's generation and stage table run in virtual time
 * over links with a delay, so the figures are those of the decisions, not of this machine.
 */
import { mkdirSync, writeFileSync } from 'node:fs';
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus';
import { uniformInt } from 'pure-rand/distribution/uniformInt';
import { referenceAnswer } from '@verbenashunt/stand-ins';
import {
  defaultChainSpec, createChainSimulation, type ChainSpec, type Failure,
} from '../test/support/chain-simulation.js';

const seed = 20_263;
const runsPerCase = 24;
const outDir = 'bench/out';
const promptTokens = 512;
/** Bytes of one position's keys and values in one layer: 8 heads of 128, two bytes each. */
const kvBytesPerLayer = 4096;
/** Positions between two exports of the KV cache. */
const exportEvery = 32;

const links = [
  { linkMs: 0.25, bytesPerMs: 1_250_000 },
  { linkMs: 25, bytesPerMs: 125_000 },
];
const failures: Failure[] = ['reset', 'silent', 'engine'];
const losses = {
  first: ['0a'], middle: ['1a'], last: ['2a'], two: ['0a', '2a'],
};
const ways = ['restart', 'repair'] as const;
const gapLimitMs = { reset: 1000, engine: 1000, silent: 2000 };

interface Sample {
  gapMs: number;
  runsAgain: number;
  movedBytes: number;
  keptBytes: number;
  whole: boolean;
}

interface Row {
  way: string;
  linkMs: number;
  failure: Failure;
  lost: string;
  runs: number;
  whole: number;
  p50Ms: number;
  p95Ms: number;
  maxMs: number;
  runsAgain: number;
  movedKilobytes: number;
  keptKilobytes: number;
  withinTarget: boolean;
}

const random = xoroshiro128plus(seed);
const pick = (from: number, to: number) => uniformInt(random, from, to);

const base: ChainSpec = {
  ...defaultChainSpec,
  prompt: Array.from({ length: promptTokens }, (_, i) => (i * 7) % 256),
  maxTokens: 48,
};
const reference = referenceAnswer(base.layers, base.prompt, base.maxTokens).join();
const positions = base.prompt.length + base.maxTokens - 1;
const hiddenTextBytes = 8;
const lastTokenLost = base.maxTokens - 2;

function sample(spec: ChainSpec, failure: Failure, nodes: string[], after: number, extra: number) {
  const world = createChainSimulation(spec);
  world.advance(() => world.result.answer.length >= after);
  const at = world.clock.now() + extra;
  world.advance(() => world.clock.now() >= at);
  nodes.forEach((node) => world.fail(node, failure));
  const result = world.finish();
  const gaps = result.tokenTimes.slice(1).map((time, i) => time - result.tokenTimes[i]!);
  return {
    gapMs: Math.max(...gaps),
    runsAgain: result.layerRuns - positions * spec.layers,
    movedBytes: (result.hiddenStatesSent - 2 * positions) * spec.hiddenBytes,
    keptBytes: (result.peakBufferedBytes / hiddenTextBytes) * spec.hiddenBytes,
    whole: result.answer.join() === reference && result.outcome === 'length',
  };
}

function quantile(values: number[], q: number) {
  const sorted = [...values].sort((a, b) => a - b);
  return sorted[Math.min(sorted.length - 1, Math.ceil(q * sorted.length) - 1)]!;
}

const mean = (values: number[]) => values.reduce((sum, n) => sum + n, 0) / values.length;
const kilobytes = (bytes: number) => Math.round(bytes / 1024);
const round = (value: number) => Math.round(value * 10) / 10;

const rows: Row[] = links.flatMap((link) => failures.flatMap((failure) => Object.entries(losses)
  .flatMap(([lost, nodes]) => {
    const moments = Array.from(
      { length: runsPerCase },
      () => [pick(1, lastTokenLost), pick(0, 40)] as const,
    );
    return ways.map((way): Row => {
      const samples: Sample[] = moments.map(([after, extra]) => sample({
        ...base, ...link, recoveryMethod: way,
      }, failure, nodes, after, extra));
      const gaps = samples.map(({ gapMs }) => gapMs);
      return {
        way,
        linkMs: link.linkMs,
        failure,
        lost,
        runs: samples.length,
        whole: samples.filter(({ whole }) => whole).length,
        p50Ms: round(quantile(gaps, 0.5)),
        p95Ms: round(quantile(gaps, 0.95)),
        maxMs: round(Math.max(...gaps)),
        runsAgain: Math.round(mean(samples.map(({ runsAgain }) => runsAgain))),
        movedKilobytes: kilobytes(mean(samples.map(({ movedBytes }) => movedBytes))),
        keptKilobytes: kilobytes(Math.max(...samples.map(({ keptBytes }) => keptBytes))),
        withinTarget: quantile(gaps, 0.95) <= gapLimitMs[failure],
      };
    });
  })));

/** KV import, computed from the same link and engine times: not run. */
const computed = links.map(({ linkMs, bytesPerMs }) => {
  const layers = base.layers / base.ranges.length;
  const importBytes = positions * layers * kvBytesPerLayer;
  return {
    way: 'import (computed)',
    linkMs,
    afterDetectionMs: round(4 * linkMs + importBytes / bytesPerMs
      + exportEvery * layers * base.layerMsPerPrefillToken),
    runsAgain: Math.round((exportEvery / 2) * layers),
    importKilobytes: kilobytes(importBytes),
    exportKilobytesPerToken: kilobytes(base.layers * kvBytesPerLayer),
    hiddenKilobytesPerToken: kilobytes((base.ranges.length - 1) * base.hiddenBytes),
  };
});

console.table(rows);
console.table(computed);
const total = rows.reduce((sum, { runs }) => sum + runs, 0);
const whole = rows.reduce((sum, row) => sum + row.whole, 0);
console.log(`${total} runs, seed ${seed}: ${whole} whole answers`);
mkdirSync(outDir, { recursive: true });
writeFileSync(`${outDir}/recovery.json`, JSON.stringify({
  seed, promptTokens, rows, computed,
}, undefined, 2));
if (whole < total) process.exitCode = 1;
