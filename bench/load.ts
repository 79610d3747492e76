/**
 * Measures routing under load with simulated engines: throughput against the theoretical bound and
 * against other policies, latencies, fairness between organisations, overload, faults and stale
 * load reports. Usage: npm run bench:load [-- name ...]; without names all experiments run.
 */
import { execFile } from 'node:child_process';
import { mkdirSync, writeFileSync } from 'node:fs';
import { fileURLToPath } from 'node:url';
import { promisify } from 'node:util';
import {
  armorFleet, falaisesFleet, mixedFleet, runModel, type ModelFault, type ModelRunSpec,
  type RequestStream, type RunResult,
} from '@verbenashunt/stand-ins';
import {
  baseSpec, deploymentOf, greedyPins, policies, streamsOf, type Deployment,
} from './support/experiments.js';

type PolicyName = keyof typeof policies;

interface RecordedRun {
  experiment: string;
  deployment: Deployment;
  result: RunResult;
}

const runs: RecordedRun[] = [];
const baselines: PolicyName[] = ['random', 'round-robin', 'least-load', 'power-of-two'];
const print = (line: string) => process.stdout.write(`${line}\n`);
const percent = (value: number) => `${(value * 100).toFixed(1)}%`;
const quantiles = ({ p50, p95, p99 }: RunResult['tokenGap']) => [p50, p95, p99]
  .map((ms) => ms.toFixed(0)).join('/');

function runPolicy(
  experiment: string,
  deployment: Deployment,
  streams: RequestStream[],
  policy: PolicyName = 'router',
  changes: Partial<ModelRunSpec> = {},
): RunResult {
  const result = runModel({
    ...baseSpec(deployment, streams), policy: policies[policy], ...changes,
  });
  runs.push({ experiment, deployment, result });
  const refused = Object.values(result.refused).reduce((sum, n) => sum + n, 0);
  print(`  ${policy.padEnd(13)} ${percent(result.tokensPerSecond / deployment.boundTokens).padStart(6)} of the bound`
    + `  ${result.tokensPerSecond.toFixed(0)} tokens/s  first token ${quantiles(result.firstToken)} ms`
    + `  between tokens ${quantiles(result.tokenGap)} ms  refused ${refused}  interrupted ${result.interrupted}`);
  return result;
}

function printTitle(name: string, deployment: Deployment) {
  const { plan, boundRequests, boundTokens } = deployment;
  print(`\n${name}: ${deployment.name}, bound ${boundTokens.toFixed(0)} tokens/s`
    + ` (${boundRequests.toFixed(1)} requests/s), placement ${percent(plan.requestsPerSecond / boundRequests)}`
    + `, after the worst zone loss ${percent(Math.min(...plan.models.map((m) => m.afterZoneLoss)) / boundRequests)}`);
}

const armor = () => deploymentOf('armor', armorFleet());
const falaises = () => deploymentOf('falaises', falaisesFleet());
const scaleTraffic = (streams: RequestStream[], org: string, factor: number) => streams
  .map((s) => (s.org === org ? { ...s, requestsPerSecond: s.requestsPerSecond * factor } : s));

function runSaturated(deployment: Deployment) {
  printTitle('saturated at 1.2 times the bound', deployment);
  const streams = streamsOf(deployment, 1.2);
  (['router', ...baselines] as PolicyName[])
    .forEach((policy) => runPolicy('saturated', deployment, streams, policy));
  print('  the router policy with the greedy placement');
  runPolicy('saturated, greedy placement', deployment, streams, 'router', { pins: greedyPins(deployment) });
}

/** Largest relative deviation of an organisation's share of the tokens from its weighted share. */
function unfairness(result: RunResult, streams: readonly RequestStream[]): number {
  const weights = new Map(streams.map(({ org, weight }) => [org, weight]));
  const total = [...weights.values()].reduce((sum, w) => sum + w, 0);
  return Math.max(...[...weights].map(([org, weight]) => {
    const share = (result.orgTokensPerSecond[org] ?? 0) / result.tokensPerSecond;
    return Math.abs(share / (weight / total) - 1);
  }));
}

function runOverload() {
  const deployment = armor();
  printTitle('overload', deployment);
  const results = [0.8, 1, 1.5, 3].map((factor) => {
    print(`  offered ${factor} times the bound`);
    return runPolicy('overload', deployment, streamsOf(deployment, factor));
  });
  const goodput = results.map(({ tokensPerSecond }) => tokensPerSecond);
  print(`  goodput at 3 times the bound, relative to the peak: ${percent(goodput.at(-1)! / Math.max(...goodput))} (target 90%)`);
  print(`  largest deviation from the fair share: ${percent(unfairness(results.at(-1)!, streamsOf(deployment, 3)))} (target 10%)`);
  print(`  longest Retry-After: ${results.at(-1)!.maxRetryAfterMs.toFixed(0)} ms`);
}

function runFlood() {
  const deployment = armor();
  printTitle('one organisation sends 40 times its usual traffic', deployment);
  const streams = streamsOf(deployment, 0.7);
  const runWindow = { durationMs: 8000 };
  const baseline = runPolicy('flood', deployment, streams, 'router', runWindow);
  const flooded = runPolicy(
    'flood',
    deployment,
    scaleTraffic(streams, 'org-9', 40),
    'router',
    runWindow,
  );
  const sumOfOthers = (values: Record<string, number>) => Object.entries(values)
    .filter(([org]) => org !== 'org-9').reduce((sum, [, n]) => sum + n, 0);
  const share = sumOfOthers(flooded.orgTokensPerSecond) / sumOfOthers(baseline.orgTokensPerSecond);
  const refusedOfFlooding = flooded.refusedByOrg['org-9'] ?? 0;
  print(`  the nine other organisations kept ${percent(share)} of their throughput without the flood;`
    + ` refused requests: ${sumOfOthers(flooded.refusedByOrg)} of the others, ${refusedOfFlooding} of the flooding one`);
}

const zoneLossAtMs = 7000;
const targetsInZones = (
  deployment: Deployment,
  matchesZone: (zone: string) => boolean,
) => deployment.fleet.targets
  .filter(({ zone }) => matchesZone(zone)).map(({ name }) => name);

function runZoneLoss(detectionMs: number) {
  const deployment = armor();
  printTitle(`zone loss detected after ${detectionMs} ms`, deployment);
  const lost = targetsInZones(deployment, (zone) => zone.endsWith('a'));
  const faults: ModelFault[] = [{
    atMs: zoneLossAtMs,
    apply: (injector) => lost.forEach((name) => injector.kill(name, detectionMs)),
  }];
  const result = runPolicy('zone loss', deployment, streamsOf(deployment, 0.4), 'router', { faults, durationMs: 7000 });
  const meanThroughput = (from: number, to: number) => result.timeline.slice(from, to)
    .reduce((sum, n) => sum + n, 0) / (to - from);
  const before = meanThroughput(zoneLossAtMs / 100 - 20, zoneLossAtMs / 100);
  const recoveredAt = result.timeline
    .findIndex((n, i) => i > zoneLossAtMs / 100 && n >= before * 0.9);
  print(`  gap in answers that lost a stage ${quantiles(result.recoveryGap)} ms;`
    + ` throughput restored to 90% after ${recoveredAt === -1 ? 'never' : `${recoveredAt * 100 - zoneLossAtMs} ms`}`);
}

function runRollingReplacement() {
  const deployment = armor();
  printTitle('rolling replacement, one target every 250 ms', deployment);
  const faults = deployment.fleet.targets.flatMap(({ name }, i): ModelFault[] => [
    { atMs: 3000 + i * 250, apply: (injector) => injector.drain(name) },
    { atMs: 4500 + i * 250, apply: (injector) => injector.restore(name) },
  ]);
  runPolicy('rolling', deployment, streamsOf(deployment, 0.5));
  runPolicy('rolling', deployment, streamsOf(deployment, 0.5), 'router', { faults });
}

function runDegradedLinks() {
  const deployment = armor();
  printTitle('links of every fourth target degraded tenfold', deployment);
  const names = deployment.fleet.targets.filter((_, i) => i % 4 === 0).map(({ name }) => name);
  const faults: ModelFault[] = [{
    atMs: 1000, apply: (injector) => names.forEach((name) => injector.degradeLinks(name, 10)),
  }];
  runPolicy('links', deployment, streamsOf(deployment, 0.5));
  runPolicy('links', deployment, streamsOf(deployment, 0.5), 'router', { faults });
}

function runReportLag() {
  const deployment = armor();
  const compared: [number, PolicyName[]][] = [
    [100, ['router', 'full-view']],
    [2000, ['router', 'full-view', 'least-load', 'power-of-two']],
  ];
  compared.forEach(([reportMs, policyNames]) => {
    printTitle(`load reports every ${reportMs} ms, 12 entries`, deployment);
    policyNames.forEach((policy) => {
      const { loadSpread } = runPolicy('lag', deployment, streamsOf(deployment, 0.85), policy, { reportMs, entries: 12 });
      print(`    coefficient of variation of load over targets ${loadSpread.toFixed(2)}`);
    });
  });
}

function runMixedFleets() {
  [1, 2, 3, 4].forEach((seed) => {
    const deployment = deploymentOf(`mixed fleet, seed ${seed}`, mixedFleet(seed));
    printTitle('saturated at 1.2 times the bound', deployment);
    runPolicy('mixed', deployment, streamsOf(deployment, 1.2));
  });
}

function runDrafts() {
  const deployment = falaises();
  printTitle('chat queries alongside drafts', deployment);
  const chat = streamsOf(deployment, 0.1)
    .map((s) => ({ ...s, cls: 'chat', answerTokens: 60 }));
  [0.3, 1.5].forEach((factor) => {
    const result = runPolicy('drafts', deployment, [...streamsOf(deployment, factor), ...chat]);
    print(`    drafts at ${factor} times the bound: first token of chat queries ${quantiles(result.firstTokenByClass.chat!)} ms`);
  });
}

const experiments: Record<string, () => void> = {
  armor: () => runSaturated(armor()),
  falaises: () => runSaturated(falaises()),
  mixed: runMixedFleets,
  overload: runOverload,
  flood: runFlood,
  'zone-loss': () => [20, 1000].forEach(runZoneLoss),
  rolling: runRollingReplacement,
  links: runDegradedLinks,
  lag: runReportLag,
  drafts: runDrafts,
};

const maxProcesses = 3;

/** Runs experiments sequentially in this process. */
function runInProcess(names: readonly string[]) {
  const startedAt = performance.now();
  names.forEach((name) => experiments[name]!());
  mkdirSync('bench/out', { recursive: true });
  const file = `bench/out/load-${names.join('-')}.json`;
  writeFileSync(file, JSON.stringify(runs.map(({ experiment, deployment, result }) => ({
    experiment, deployment: deployment.name, boundTokens: deployment.boundTokens, ...result,
  })), undefined, 2));
  const seconds = ((performance.now() - startedAt) / 1000).toFixed(0);
  print(`\n${runs.length} runs in ${seconds} s; seed 1; JSON in ${file}`);
}

/**
 * Runs each experiment in its own process, up to `maxProcesses` at a time. The simulation uses
 * virtual time, so the load of the machine does not affect the results.
 */
async function runAll() {
  const remaining = Object.keys(experiments);
  async function runRemaining(): Promise<void> {
    const name = remaining.shift();
    if (!name) return;
    const { stdout } = await promisify(execFile)(process.execPath, [
      ...process.execArgv, fileURLToPath(import.meta.url), name,
    ]);
    print(stdout.trimEnd());
    await runRemaining();
  }
  await Promise.all(Array.from({ length: maxProcesses }, runRemaining));
}

const selected = process.argv.slice(2);
if (selected.length > 0) runInProcess(selected);
else await runAll();
