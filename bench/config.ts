/**
 * Benchmarks configuration changes: conflict rate, cost of a decision, and the time until a change
 * is in force on every VM. Run by `npm run bench:config`.
 */
import { mkdir, writeFile } from 'node:fs/promises';
import { measureConflicts, measureDecisions } from './config-conflicts.js';
import { countSentBytes, measurePropagation, type PropagationResult } from './config-propagation.js';

const seeds = [1, 2, 3];
const percent = (share: number) => `${(share * 100).toFixed(2)}%`;

const conflicts = seeds.flatMap((seed) => measureConflicts(seed).map((row) => ({ seed, ...row })));
console.log('conflicts at 8,300 changes a day, half of them in bursts of 40 within 20 s');
conflicts.forEach((row) => console.log(`  seed ${row.seed}  review ${row.reviewSeconds} s  refused after any newer change ${percent(row.oneHead)}  refused after a newer change of the same item ${percent(row.byItems)}`));

const decision = measureDecisions();
console.log('one change with 1,500 targets and 1,200 organisations');
console.log(`  state ${decision.stateBytes} bytes, record ${decision.recordBytes} bytes, decided in ${decision.decideMs.toFixed(1)} ms, applied in ${decision.adoptMs.toFixed(1)} ms`);

console.log('time from sending a change until it is in force on every VM, all nodes in one process');
countSentBytes();
const specs = [
  {
    entries: 3, agents: 43, zones: 3, changes: 50, silent: false,
  },
  {
    entries: 3, agents: 43, zones: 3, changes: 10, silent: true,
  },
  {
    entries: 12, agents: 100, zones: 3, changes: 20, silent: false,
  },
  {
    entries: 12, agents: 300, zones: 3, changes: 20, silent: false,
  },
  {
    entries: 12, agents: 300, zones: 3, changes: 10, silent: true,
  },
];
const propagation = await specs.reduce<Promise<PropagationResult[]>>(async (before, spec) => {
  const rows = await before;
  const row = await measurePropagation(spec);
  console.log(`  ${row.entries} entries, ${row.agents} agents, ${row.silent ? 'no announcement by the accepting entry' : 'announced by the accepting entry'}: p50 ${row.p50Ms.toFixed(0)} ms, p99 ${row.p99Ms.toFixed(0)} ms, max ${row.maxMs.toFixed(0)} ms; ${row.idleBytesPerNodeSecond.toFixed(0)} bytes per node and second when idle, ${row.bytesPerNodeChange.toFixed(0)} per node and change, ${row.headReadsPerSecond.toFixed(1)} head reads a second`);
  return [...rows, row];
}, Promise.resolve([]));

await mkdir('bench/out', { recursive: true });
await writeFile('bench/out/config.json', JSON.stringify({ conflicts, decision, spread: propagation }, null, 2));
