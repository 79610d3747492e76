/**
 * Soak test: runs real processes under load and injects faults in sequence, drawn at random from
 * the seed. Prints the outcomes of the requests and every violated guarantee; the exit code is 1
 * if there is a violation. Usage: npm run soak -- --seconds 60 --seed 1
 */
import { parseArgs } from 'node:util';
import { fileURLToPath } from 'node:url';
import { request } from 'undici';
import { createRandom, startCluster } from '@verbenashunt/stand-ins';
import { createCaller, createFindings } from './soak/callers.js';
import { createFaultInjector, type FaultKind } from './soak/faults.js';

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
const selectedKinds = allKinds.filter((kind) => values.faults.split(',').includes(kind));
const print = (line: string) => process.stdout.write(`${line}\n`);

const flags = ['--layer-ms', '1', '--prefill-ms', '0.05'];
const cluster = await startCluster({
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
const isRunning = () => performance.now() < endsAt;

async function callRepeatedly(caller: number, n = 0): Promise<void> {
  if (!isRunning()) return undefined;
  const send = createCaller({
    entries: cluster.entries, layers, maxTokens, random, findings,
  });
  await send(`${caller}-${n}`);
  return callRepeatedly(caller, n + 1);
}

const injectFault = createFaultInjector({
  cluster,
  random,
  kinds: selectedKinds,
  log: (line) => print(`${((performance.now() - startedAt) / millisecondsPerSecond).toFixed(1)} s: ${line}`),
});
async function injectFaultsRepeatedly(): Promise<void> {
  if (!isRunning() || selectedKinds.length === 0) return undefined;
  await injectFault();
  return injectFaultsRepeatedly();
}

/** How often the services ran each payment, by payment id. */
async function countPaymentRuns(): Promise<Map<string, number>> {
  const runLists = await Promise.all(['app-1', 'app-2'].map(async (name) => {
    const res = await request(`${cluster.targets.get(name)!}/_runs`);
    return (await res.body.json() as { runs: { method: string; body: string }[] }).runs;
  }));
  const ids = runLists.flat().filter(({ method }) => method === 'POST')
    .map(({ body }) => (JSON.parse(body) as { id: string }).id);
  const counts = new Map<string, number>();
  ids.forEach((id) => counts.set(id, (counts.get(id) ?? 0) + 1));
  return counts;
}

try {
  await Promise.all([
    injectFaultsRepeatedly(),
    ...Array.from({ length: callers }, (_, caller) => callRepeatedly(caller)),
  ]);
  await new Promise((resolve) => {
    setTimeout(resolve, settleMs);
  });
  const runCounts = await countPaymentRuns();
  findings.paymentOutcomes.forEach((outcome, id) => {
    const runCount = runCounts.get(id) ?? 0;
    if (runCount > 1) findings.violations.push(`payment ${id} ran ${runCount} times`);
    if (outcome === 'completed' && runCount !== 1) findings.violations.push(`payment ${id} completed but ran ${runCount} times`);
    if (outcome === 'no' && runCount > 0) findings.violations.push(`payment ${id} was reported as not run but ran`);
  });
  const sequencesByEngine = await Promise.all([...cluster.targets].filter(([name]) => name.startsWith('engine'))
    .map(async ([name, url]) => {
      const res = await request(`${url}/runs`);
      return [name, (await res.body.json() as { sequences: number }).sequences] as const;
    }));
  sequencesByEngine.filter(([, sequences]) => sequences > 0)
    .forEach(([name, sequences]) => findings.violations.push(`${name} still holds ${sequences} sequences`));
  const gaps = findings.longestGaps.toSorted((a, b) => a - b);
  const quantile = (share: number) => gaps[Math.floor(share * (gaps.length - 1))]?.toFixed(0) ?? 'none';
  [...findings.outcomes].sort(([a], [b]) => (a < b ? -1 : 1)).forEach(([key, n]) => print(`${key}: ${n}`));
  print(`longest gap within complete answers in ms: p50 ${quantile(0.5)}, p95 ${quantile(0.95)}, max ${quantile(1)}`);
  findings.violations.forEach((violation) => print(`VIOLATION: ${violation}`));
  print(`seed ${values.seed}, ${values.seconds} s: ${findings.violations.length} violations`);
  process.exitCode = findings.violations.length > 0 ? 1 : 0;
} finally {
  await cluster.stop();
}
