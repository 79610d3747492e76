/** Times the choice of a chain of targets for a request. Run by `npm run bench:load-choice`. */
import { chooseChain, limitConcurrency, type StageCandidate } from '@verbenashunt/core';
import { createRandom } from '@verbenashunt/stand-ins';

const layers = 32;
const layerRanges = [[0, 8], [8, 16], [16, 24], [24, 32]] as const;
const runs = 5000;
/** Unmeasured runs, so that the JIT compiler optimizes the code first. */
const warmUpRuns = 1000;

function candidatesOf(count: number): StageCandidate[] {
  const random = createRandom(1);
  return Array.from({ length: count }, (_, i) => ({
    node: `n${i}`,
    zone: `z${i % 3}`,
    region: 'r',
    lo: layerRanges[i % layerRanges.length]![0],
    hi: layerRanges[i % layerRanges.length]![1],
    layerMs: 0.1 + random(),
    prefillMs: 0.002,
    active: Math.floor(random() * 60),
    limit: 500,
  }));
}

function measure(count: number, samples: number | undefined) {
  const random = createRandom(2);
  const candidates = candidatesOf(count);
  const times = Array.from({ length: warmUpRuns + runs }, () => {
    const startedAt = performance.now();
    chooseChain({
      layers,
      candidates: limitConcurrency(candidates, layers),
      linkMs: () => 0.1,
      size: { promptTokens: 300, answerTokens: 120 },
      ...samples === undefined ? {} : { random, samples },
    });
    return performance.now() - startedAt;
  }).slice(warmUpRuns).sort((a, b) => a - b);
  const quantile = (share: number) => times[Math.floor(share * times.length)]!.toFixed(3);
  process.stdout.write(`${count} targets, ${samples === undefined ? 'all candidates compared' : `${samples} candidates sampled per layer range`}: p50 ${quantile(0.5)} ms, p99 ${quantile(0.99)} ms\n`);
}

measure(40, 3);
measure(40, undefined);
measure(1500, 3);
