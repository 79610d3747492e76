/**
 * Times the gateway's choice of a chain of engines by the number of targets. Run by
 * `npm run bench:chain-choice`.
 */
import {
  chooseServingChain, type EngineModel, type ServingTarget,
} from '@verbenashunt/core';
import { createRandom } from '@verbenashunt/stand-ins';

const layers = 80;
const zones = ['a', 'b', 'c', 'd', 'e'] as const;
const targetCounts = [22, 51, 80, 130, 500, 1500] as const;
const runs = 300;
/** Unmeasured runs, so that the JIT compiler optimizes the code first. */
const warmUpRuns = 100;

const kinds = [
  {
    name: 'large', memoryMb: 36_000, stepFactor: 3.1, readFactor: 3.2, held: 17,
  },
  {
    name: 'middle', memoryMb: 21_600, stepFactor: 16, readFactor: 8.2, held: 10,
  },
  {
    name: 'small', memoryMb: 14_400, stepFactor: 15, readFactor: 15, held: 6,
  },
] as const;

const engine: EngineModel = {
  layers,
  layerMb: 1750,
  kvTokenBytes: 328_000,
  slots: 134,
  stepMs: 0.85,
  sequenceMs: 0.002,
  contextMsPerK: 0.003,
  prefillTokensPerS: 353_000,
  loadS: 14,
  loadsAtOnce: 6,
  activationBytes: 16_400,
  pipeMbps: 3400,
  usual: { prompt: 772, answer: 142 },
  kinds: [...kinds],
  delays: [],
};

/** Targets of all zones; in each, ranges follow one another and start over at the last layer. */
function createTargets(count: number, random: () => number): ServingTarget[] {
  const nextLayer = new Map<string, number>();
  return Array.from({ length: count }, (_, i) => {
    const zone = zones[i % zones.length]!;
    const kind = kinds[Math.floor(random() * kinds.length)]!;
    const lo = nextLayer.get(zone) ?? 0;
    const hi = Math.min(layers, lo + kind.held);
    nextLayer.set(zone, hi === layers ? 0 : hi);
    return {
      id: `t${i}`,
      service: 'pool',
      address: `10.0.0.1:${i}`,
      zone,
      draining: false,
      slots: 134,
      kind: kind.name,
      held: { lo, hi, version: 1 },
      startedAt: 1,
    };
  });
}

function measure(count: number) {
  const random = createRandom(1);
  const targets = createTargets(count, random);
  const tokens = new Map(targets.map(({ id }) => [id, random() * 20_000]));
  const times = Array.from({ length: warmUpRuns + runs }, () => {
    const startedAt = performance.now();
    chooseServingChain({
      engine,
      targets,
      size: { promptTokens: 772, answerTokens: 142 },
      zone: 'a',
      tokensAt: (id) => tokens.get(id)!,
      slowdownOf: () => 1,
    });
    return performance.now() - startedAt;
  }).slice(warmUpRuns).sort((a, b) => a - b);
  const quantile = (share: number) => times[Math.floor(share * times.length)]!.toFixed(3);
  process.stdout.write(`${count} targets: p50 ${quantile(0.5)} ms, p99 ${quantile(0.99)} ms\n`);
}

targetCounts.forEach(measure);
