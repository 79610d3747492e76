/** Times one choice of chain: `npm run bench:load-choice`. */
import { chooseChain, limitConcurrency, type StageCandidate } from '@verbenashunt/core';
import { createRandom } from '@verbenashunt/stand-ins';

const layers = 32;
const cuts = [[0, 8], [8, 16], [16, 24], [24, 32]] as const;
const runs = 5000;
/** Runs before the measurement, which compile the code. */
const warmUpRuns = 1000;

function candidatesOf(count: number): StageCandidate[] {
  const random = createRandom(1);
  return Array.from({ length: count }, (_, i) => ({
    node: `n${i}`,
    zone: `z${i % 3}`,
    region: 'r',
    lo: cuts[i % cuts.length]![0],
    hi: cuts[i % cuts.length]![1],
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
  const at = (share: number) => times[Math.floor(share * times.length)]!.toFixed(3);
  process.stdout.write(`${count} targets, ${samples === undefined ? 'all compared' : `${samples} sampled for each range`}: p50 ${at(0.5)} ms, p99 ${at(0.99)} ms\n`);
}

measure(40, 3);
measure(40, undefined);
measure(1500, 3);
