/** Weighs the methods of placement and times them: `npm run bench:placement`. */
import {
  fluidThroughput, greedyPlacement, planPlacement, throughputBound, toMember, type Fleet,
} from '@verbenashunt/core';
import { armorFleet, falaisesFleet, mixedFleet } from '@verbenashunt/stand-ins';

const print = (line: string) => process.stdout.write(`${line}\n`);
const percent = (value: number) => `${(value * 100).toFixed(1)}%`.padStart(6);
const regions = 7;
const serversPerRegion = 214;

/** Greedy coverage, by its throughput if targets shared each layer freely. */
function greedyShare(fleet: Fleet, bound: number): string {
  const [model] = fleet.models;
  if (fleet.models.length > 1) return '     -';
  const members = fleet.targets.map((target) => toMember(target, model!));
  return percent(fluidThroughput(greedyPlacement(model!.layers, members), model!.layers) / bound);
}

function weigh(name: string, fleet: Fleet) {
  const startedAt = performance.now();
  const plan = planPlacement(fleet);
  const ms = performance.now() - startedAt;
  const { requestsPerSecond: bound } = throughputBound(fleet);
  const afterLoss = Math.min(...plan.models.map((m) => m.afterZoneLoss));
  const stages = plan.models.map(({ boundaries: cuts }) => cuts.length - 1).join('+');
  print(`${name.padEnd(28)} ${String(fleet.targets.length).padStart(4)} targets  balanced ${percent(plan.requestsPerSecond / bound)}`
    + `  greedy ${greedyShare(fleet, bound)}  after the worst zone loss ${percent(afterLoss / bound)}  stages ${stages}  ${ms.toFixed(0)} ms`);
  return plan;
}

print('Placement against the bound; the balanced stages are what the planner uses');
weigh('armor', armorFleet());
weigh('falaises', falaisesFleet());
[1, 2, 3, 4, 5, 6].forEach((seed) => weigh(`mixed fleet, seed ${seed}`, mixedFleet(seed)));

const startedAt = performance.now();
Array.from({ length: regions }, (_, i) => weigh(`region of seed ${i + 11}`, mixedFleet(i + 11, serversPerRegion)));
print(`${regions} regions in ${(performance.now() - startedAt).toFixed(0)} ms, bounds included (target 10000 ms)`);

print('\nRe-planning the Armor fleet from the placement in force');
const fleet = armorFleet();
const pins = new Map(planPlacement(fleet).pins.map(({ target, pin }) => [target, pin]));
const inForce = fleet.targets.map((target) => ({ ...target, held: pins.get(target.name) }));
const changes: Record<string, Fleet['targets']> = {
  'nothing changed': inForce,
  'one target lost': inForce.slice(1),
  'a zone lost': inForce.filter(({ zone }) => !zone.endsWith('a')),
  'four targets join': [...inForce, ...inForce.slice(0, 4)
    .map((target) => ({ ...target, name: `${target.name}-new`, held: undefined }))],
  'one target runs at a fifth': inForce.map((t, i) => (i === 0 ? { ...t, slowdown: 5 } : t)),
};
Object.entries(changes).forEach(([name, targets]) => {
  const plan = planPlacement({ ...fleet, targets });
  const { requestsPerSecond: bound } = throughputBound({ ...fleet, targets });
  print(`${name.padEnd(28)} ${percent(plan.requestsPerSecond / bound)} of the new bound, ${plan.movedLayers} layers loaded`);
});
