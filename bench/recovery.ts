/**
 * Measures the recovery of an answer after the loss of a stage, by recovery strategy and failure:
 * the gap that the caller sees, the repeated layer executions, and the bytes transferred and kept.
 * The production code for generations and stage tables runs in virtual time over links with a
 * simulated delay, so the results do not depend on the speed of this machine. Run by
 * `npm run bench:recovery`.
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
/**
 * Bytes of the KV cache for one position in one layer: keys and values of 8 heads with 128
 * dimensions, two bytes each.
 */
const kvBytesPerLayer = 4096;
/** Positions between two exports of the KV cache. */
const exportInterval = 32;

const links = [
  { linkMs: 0.25, bytesPerMs: 1_250_000 },
  { linkMs: 25, bytesPerMs: 125_000 },
];
const failures: Failure[] = ['reset', 'silent', 'engine'];
/** Nodes that fail together, by the name of the case. */
const lostNodes = {
  first: ['0a'], middle: ['1a'], last: ['2a'], two: ['0a', '2a'],
};
const ways = ['restart', 'repair'] as const;
/** Upper bound of the 95th percentile of the gap, by failure. */
const gapLimitMs = { reset: 1000, engine: 1000, silent: 2000 };

interface Sample {
  /** Longest time between two tokens. */
  gapMs: number;
  /** Layer executions beyond those of a run without failures. */
  runsAgain: number;
  /** Bytes of hidden states transferred beyond those of a run without failures. */
  movedBytes: number;
  /** Most bytes of outputs that one stage kept for a repair. */
  keptBytes: number;
  /** Whether the answer is complete and equal to the reference. */
  whole: boolean;
}

interface Row {
  way: string;
  linkMs: number;
  failure: Failure;
  lost: string;
  runs: number;
  /** Runs whose answer is complete and equal to the reference. */
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
const randomBetween = (from: number, to: number) => uniformInt(random, from, to);

const baseSpec: ChainSpec = {
  ...defaultChainSpec,
  prompt: Array.from({ length: promptTokens }, (_, i) => (i * 7) % 256),
  maxTokens: 48,
};
const reference = referenceAnswer(baseSpec.layers, baseSpec.prompt, baseSpec.maxTokens).join();
const positions = baseSpec.prompt.length + baseSpec.maxTokens - 1;
/** Maximum size of a hidden state of the stand-in engine: a 32-bit number as hexadecimal text. */
const standInHiddenBytes = 8;
const maxTokensBeforeFailure = baseSpec.maxTokens - 2;

/** Runs one answer; the nodes fail `extraMs` after the given number of tokens. */
function runSample(
  spec: ChainSpec,
  failure: Failure,
  nodes: string[],
  tokensBeforeFailure: number,
  extraMs: number,
) {
  const simulation = createChainSimulation(spec);
  simulation.advance(() => simulation.result.answer.length >= tokensBeforeFailure);
  const failAt = simulation.clock.now() + extraMs;
  simulation.advance(() => simulation.clock.now() >= failAt);
  nodes.forEach((node) => simulation.fail(node, failure));
  const result = simulation.finish();
  const gaps = result.tokenTimes.slice(1).map((time, i) => time - result.tokenTimes[i]!);
  return {
    gapMs: Math.max(...gaps),
    runsAgain: result.layerRuns - positions * spec.layers,
    movedBytes: (result.hiddenStatesSent - 2 * positions) * spec.hiddenBytes,
    keptBytes: (result.peakBufferedBytes / standInHiddenBytes) * spec.hiddenBytes,
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

const rows: Row[] = links.flatMap((link) => failures.flatMap((failure) => Object.entries(lostNodes)
  .flatMap(([lost, nodes]) => {
    const failureMoments = Array.from(
      { length: runsPerCase },
      () => [randomBetween(1, maxTokensBeforeFailure), randomBetween(0, 40)] as const,
    );
    return ways.map((way): Row => {
      const samples: Sample[] = failureMoments.map(([tokensBeforeFailure, extraMs]) => runSample({
        ...baseSpec, ...link, recoveryMethod: way,
      }, failure, nodes, tokensBeforeFailure, extraMs));
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

/** Recovery by KV cache import: estimated from the same link and engine times, not simulated. */
const computed = links.map(({ linkMs, bytesPerMs }) => {
  const layers = baseSpec.layers / baseSpec.ranges.length;
  const importBytes = positions * layers * kvBytesPerLayer;
  return {
    way: 'import (computed)',
    linkMs,
    afterDetectionMs: round(4 * linkMs + importBytes / bytesPerMs
      + exportInterval * layers * baseSpec.layerMsPerPrefillToken),
    runsAgain: Math.round((exportInterval / 2) * layers),
    importKilobytes: kilobytes(importBytes),
    exportKilobytesPerToken: kilobytes(baseSpec.layers * kvBytesPerLayer),
    hiddenKilobytesPerToken: kilobytes((baseSpec.ranges.length - 1) * baseSpec.hiddenBytes),
  };
});

console.table(rows);
console.table(computed);
const total = rows.reduce((sum, { runs }) => sum + runs, 0);
const whole = rows.reduce((sum, row) => sum + row.whole, 0);
console.log(`${total} runs, seed ${seed}: ${whole} complete and correct answers`);
mkdirSync(outDir, { recursive: true });
writeFileSync(`${outDir}/recovery.json`, JSON.stringify({
  seed, promptTokens, rows, computed,
}, undefined, 2));
if (whole < total) process.exitCode = 1;
