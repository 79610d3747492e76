/** Bench of configuration: conflicts, cost of a change, and the time until it is everywhere. */
import { mkdir, writeFile } from 'node:fs/promises';
import { conflictRows, decisionFigures } from './config-conflicts.js';
import { countSentBytes, measureSpread, type SpreadFigures } from './config-spread.js';

const seeds = [1, 2, 3];
const percent = (share: number) => `${(share * 100).toFixed(2)}%`;

const conflicts = seeds.flatMap((seed) => conflictRows(seed).map((row) => ({ seed, ...row })));
console.log('conflicts at 8,300 changes a day, half of them in bursts of 40 within 20 s');
conflicts.forEach((row) => console.log(`  seed ${row.seed}  review ${row.reviewSeconds} s  one head ${percent(row.oneHead)}  by items ${percent(row.byItems)}`));

const decision = decisionFigures();
console.log('one change with 1,500 targets and 1,200 organisations');
console.log(`  state ${decision.stateBytes} bytes, record ${decision.recordBytes} bytes, decided in ${decision.decideMs.toFixed(1)} ms, adopted in ${decision.adoptMs.toFixed(1)} ms`);

console.log('time from sending a change until it is in force on every VM, all processes in one');
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
const spread = await specs.reduce<Promise<SpreadFigures[]>>(async (before, spec) => {
  const rows = await before;
  const row = await measureSpread(spec);
  console.log(`  ${row.entries} entries, ${row.agents} agents, ${row.silent ? 'accepting entry ends after the commit' : 'accepting entry lives'}: p50 ${row.p50Ms.toFixed(0)} ms, p99 ${row.p99Ms.toFixed(0)} ms, max ${row.maxMs.toFixed(0)} ms; ${row.idleBytesPerNodeSecond.toFixed(0)} bytes per node and second when idle, ${row.bytesPerNodeChange.toFixed(0)} per node and change, ${row.headReadsPerSecond.toFixed(1)} head reads a second`);
  return [...rows, row];
}, Promise.resolve([]));

await mkdir('bench/out', { recursive: true });
await writeFile('bench/out/config.json', JSON.stringify({ conflicts, decision, spread }, null, 2));
