/**
 * Compares the throughput of balanced and greedy placement with the theoretical bound, and times
 * the planner. Run by `npm run bench:placement`.
 */
import {
  fluidThroughput, greedyPlacement, planPlacement, throughputBound, toMember, type Fleet,
} from '@verbenashunt/core';
import { armorFleet, falaisesFleet, mixedFleet } from '@verbenashunt/stand-ins';

const print = (line: string) => process.stdout.write(`${line}\n`);
const percent = (value: number) => `${(value * 100).toFixed(1)}%`.padStart(6);
const regions = 7;
const serversPerRegion = 214;

/**
 * Throughput of greedy placement as a share of the bound, if the load of each layer were divided
 * ideally between the targets that hold it.
 */
function greedyShare(fleet: Fleet, bound: number): string {
  const [model] = fleet.models;
  if (fleet.models.length > 1) return '     -';
  const members = fleet.targets.map((target) => toMember(target, model!));
  return percent(fluidThroughput(greedyPlacement(model!.layers, members), model!.layers) / bound);
}

function reportPlacement(name: string, fleet: Fleet) {
  const startedAt = performance.now();
  const plan = planPlacement(fleet);
  const ms = performance.now() - startedAt;
  const { requestsPerSecond: bound } = throughputBound(fleet);
  const afterLoss = Math.min(...plan.models.map((m) => m.afterZoneLoss));
  const stages = plan.models.map(({ boundaries }) => boundaries.length - 1).join('+');
  print(`${name.padEnd(28)} ${String(fleet.targets.length).padStart(4)} targets  balanced ${percent(plan.requestsPerSecond / bound)}`
    + `  greedy ${greedyShare(fleet, bound)}  after the worst zone loss ${percent(afterLoss / bound)}  stages ${stages}  ${ms.toFixed(0)} ms`);
  return plan;
}

print('Throughput relative to the bound; the planner uses balanced placement');
reportPlacement('armor', armorFleet());
reportPlacement('falaises', falaisesFleet());
[1, 2, 3, 4, 5, 6].forEach((seed) => reportPlacement(`mixed fleet, seed ${seed}`, mixedFleet(seed)));

const startedAt = performance.now();
Array.from({ length: regions }, (_, i) => reportPlacement(`region of seed ${i + 11}`, mixedFleet(i + 11, serversPerRegion)));
print(`${regions} regions in ${(performance.now() - startedAt).toFixed(0)} ms, bounds included (target 10000 ms)`);

print('\nReplanning the Armor fleet from the current placement');
const fleet = armorFleet();
const pins = new Map(planPlacement(fleet).pins.map(({ target, pin }) => [target, pin]));
const currentTargets = fleet.targets.map((target) => ({ ...target, held: pins.get(target.name) }));
const changes: Record<string, Fleet['targets']> = {
  'nothing changed': currentTargets,
  'one target lost': currentTargets.slice(1),
  'a zone lost': currentTargets.filter(({ zone }) => !zone.endsWith('a')),
  'four targets join': [...currentTargets, ...currentTargets.slice(0, 4)
    .map((target) => ({ ...target, name: `${target.name}-new`, held: undefined }))],
  'one target 5 times slower': currentTargets.map((t, i) => (i === 0 ? { ...t, slowdown: 5 } : t)),
};
Object.entries(changes).forEach(([name, targets]) => {
  const plan = planPlacement({ ...fleet, targets });
  const { requestsPerSecond: bound } = throughputBound({ ...fleet, targets });
  print(`${name.padEnd(28)} ${percent(plan.requestsPerSecond / bound)} of the new bound, ${plan.movedLayers} layers loaded`);
});
