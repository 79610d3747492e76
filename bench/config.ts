/** Bench of configuration: conflicts, cost of a change, and the time until it is everywhere. */
import { mkdir, writeFile } from 'node:fs/promises';
import { conflictRows, decisionFigures } from './config-conflicts.js';

const seeds = [1, 2, 3];
const percent = (share: number) => `${(share * 100).toFixed(2)}%`;

const conflicts = seeds.flatMap((seed) => conflictRows(seed).map((row) => ({ seed, ...row })));
console.log('conflicts at 8,300 changes a day, half of them in bursts of 40 within 20 s');
conflicts.forEach((row) => console.log(`  seed ${row.seed}  review ${row.reviewSeconds} s  one head ${percent(row.oneHead)}  by items ${percent(row.byItems)}`));

const decision = decisionFigures();
console.log('one change with 1,500 targets and 1,200 organisations');
console.log(`  state ${decision.stateBytes} bytes, record ${decision.recordBytes} bytes, decided in ${decision.decideMs.toFixed(1)} ms, adopted in ${decision.adoptMs.toFixed(1)} ms`);

await mkdir('bench/out', { recursive: true });
await writeFile('bench/out/config.json', JSON.stringify({ conflicts, decision }, null, 2));
