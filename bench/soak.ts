/**
 * Soak run: real processes under load while faults come one after another, drawn from a seed.
 * Prints what callers saw and every broken promise; ends with 1 when there is one.
 * Usage: npm run soak -- --seconds 60 --seed 1
 */
import { parseArgs } from 'node:util';
import { fileURLToPath } from 'node:url';
import { request } from 'undici';
import { createRandom, startCluster } from '@verbenashunt/stand-ins';
import { createCaller, createFindings } from './soak/callers.js';
import { createFaults, type FaultKind } from './soak/faults.js';

const layers = 12;
const maxTokens = 60;
const callers = 12;
const settleMs = 6000;
const millisecondsPerSecond = 1000;
const allKinds: FaultKind[] = [
  'kill agent', 'kill engine', 'kill entry', 'freeze agent', 'freeze entry', 'freeze engine',
  'platform outage', 'lost writes', 'platform slow',
];

const { values } = parseArgs({
  options: {
    seconds: { type: 'string', default: '60' },
    seed: { type: 'string', default: '1' },
    faults: { type: 'string', default: allKinds.join(',') },
  },
});
const random = createRandom(Number(values.seed));
const kinds = allKinds.filter((kind) => values.faults.split(',').includes(kind));
const print = (line: string) => process.stdout.write(`${line}\n`);

const flags = ['--layer-ms', '1', '--prefill-ms', '0.05'];
const path = await startCluster({
  model: 'm',
  layers,
  fleet: 'soak',
  engines: [[0, 4], [4, 8], [8, 12]].flatMap(([lo, hi]) => [0, 1]
    .map(() => ({ lo: lo!, hi: hi!, flags }))),
  services: 2,
  entries: 2,
  declarations: fileURLToPath(new URL('./fixtures/soak', import.meta.url)),
});
const findings = createFindings();
const startedAt = performance.now();
const endsAt = startedAt + Number(values.seconds) * millisecondsPerSecond;
const running = () => performance.now() < endsAt;

async function callInTurn(caller: number, n = 0): Promise<void> {
  if (!running()) return undefined;
  const send = createCaller({
    entries: path.entries, layers, maxTokens, random, findings,
  });
  await send(`${caller}-${n}`);
  return callInTurn(caller, n + 1);
}

const bringAbout = createFaults({
  path,
  random,
  kinds,
  log: (line) => print(`${((performance.now() - startedAt) / millisecondsPerSecond).toFixed(1)} s: ${line}`),
});
async function faultInTurn(): Promise<void> {
  if (!running() || kinds.length === 0) return undefined;
  await bringAbout();
  return faultInTurn();
}

/** Runs of each payment, as the services counted them. */
async function paymentRuns(): Promise<Map<string, number>> {
  const lists = await Promise.all(['app-1', 'app-2'].map(async (name) => {
    const res = await request(`${path.targets.get(name)!}/_runs`);
    return (await res.body.json() as { runs: { method: string; body: string }[] }).runs;
  }));
  const ids = lists.flat().filter(({ method }) => method === 'POST')
    .map(({ body }) => (JSON.parse(body) as { id: string }).id);
  const counts = new Map<string, number>();
  ids.forEach((id) => counts.set(id, (counts.get(id) ?? 0) + 1));
  return counts;
}

try {
  await Promise.all([
    faultInTurn(),
    ...Array.from({ length: callers }, (_, caller) => callInTurn(caller)),
  ]);
  await new Promise((resolve) => {
    setTimeout(resolve, settleMs);
  });
  const runs = await paymentRuns();
  findings.payments.forEach((outcome, id) => {
    const ran = runs.get(id) ?? 0;
    if (ran > 1) findings.violations.push(`payment ${id} ran ${ran} times`);
    if (outcome === 'completed' && ran !== 1) findings.violations.push(`payment ${id} completed but ran ${ran} times`);
    if (outcome === 'no' && ran > 0) findings.violations.push(`payment ${id} was told not run but ran`);
  });
  const left = await Promise.all([...path.targets].filter(([name]) => name.startsWith('engine'))
    .map(async ([name, url]) => {
      const res = await request(`${url}/runs`);
      return [name, (await res.body.json() as { sequences: number }).sequences] as const;
    }));
  left.filter(([, sequences]) => sequences > 0)
    .forEach(([name, sequences]) => findings.violations.push(`${name} still holds ${sequences} sequences`));
  const gaps = findings.gaps.toSorted((a, b) => a - b);
  const at = (share: number) => gaps[Math.floor(share * (gaps.length - 1))]?.toFixed(0) ?? 'none';
  [...findings.outcomes].sort(([a], [b]) => (a < b ? -1 : 1)).forEach(([key, n]) => print(`${key}: ${n}`));
  print(`longest gap of whole answers in ms: p50 ${at(0.5)}, p95 ${at(0.95)}, max ${at(1)}`);
  findings.violations.forEach((violation) => print(`VIOLATION: ${violation}`));
  print(`seed ${values.seed}, ${values.seconds} s: ${findings.violations.length} violations`);
  process.exitCode = findings.violations.length > 0 ? 1 : 0;
} finally {
  await path.stop();
}
