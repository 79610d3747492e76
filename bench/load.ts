/**
 * Measures the decisions under load on the model of the engines: throughput against the bound
 * and the baselines, latencies, shares of organisations, overload, faults and stale reports.
 * Usage: npm run bench:load [-- name ...]; without names all experiments run.
 */
import { mkdirSync, writeFileSync } from 'node:fs';
import {
  armorFleet, falaisesFleet, mixedFleet, runModel, type ModelFault, type ModelRunSpec,
  type RequestStream, type RunResult,
} from '@verbenashunt/stand-ins';
import {
  baseSpec, deploymentOf, greedyPins, policies, streamsOf, type Deployment,
} from './support/experiments.js';

type PolicyName = keyof typeof policies;

interface Run {
  experiment: string;
  deployment: Deployment;
  result: RunResult;
}

const runs: Run[] = [];
const baselines: PolicyName[] = ['random', 'round-robin', 'least-load', 'power-of-two'];
const print = (line: string) => process.stdout.write(`${line}\n`);
const percent = (value: number) => `${(value * 100).toFixed(1)}%`;
const quantiles = ({ p50, p95, p99 }: RunResult['tokenGap']) => [p50, p95, p99]
  .map((ms) => ms.toFixed(0)).join('/');

function run(
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
    + `  ${result.tokensPerSecond.toFixed(0)} tokens/s  first ${quantiles(result.firstToken)} ms`
    + `  between ${quantiles(result.tokenGap)} ms  refused ${refused}  broken ${result.interrupted}`);
  return result;
}

function title(name: string, deployment: Deployment) {
  const { plan, boundRequests, boundTokens } = deployment;
  print(`\n${name}: ${deployment.name}, bound ${boundTokens.toFixed(0)} tokens/s`
    + ` (${boundRequests.toFixed(1)} requests/s), placement ${percent(plan.requestsPerSecond / boundRequests)}`
    + `, after the worst zone loss ${percent(Math.min(...plan.models.map((m) => m.afterZoneLoss)) / boundRequests)}`);
}

const armor = () => deploymentOf('armor', armorFleet());
const falaises = () => deploymentOf('falaises', falaisesFleet());
const scaled = (streams: RequestStream[], org: string, factor: number) => streams
  .map((s) => (s.org === org ? { ...s, requestsPerSecond: s.requestsPerSecond * factor } : s));

function saturated(deployment: Deployment) {
  title('saturated at 1.2 times the bound', deployment);
  const streams = streamsOf(deployment, 1.2);
  (['router', ...baselines] as PolicyName[])
    .forEach((policy) => run('saturated', deployment, streams, policy));
  print('  the router on the greedy placement');
  run('saturated, greedy placement', deployment, streams, 'router', { pins: greedyPins(deployment) });
}

/** Largest deviation of an organisation's share of the tokens from its weight's share. */
function unfairness(result: RunResult, streams: readonly RequestStream[]): number {
  const weights = new Map(streams.map(({ org, weight }) => [org, weight]));
  const total = [...weights.values()].reduce((sum, w) => sum + w, 0);
  return Math.max(...[...weights].map(([org, weight]) => {
    const share = (result.orgTokensPerSecond[org] ?? 0) / result.tokensPerSecond;
    return Math.abs(share / (weight / total) - 1);
  }));
}

function overload() {
  const deployment = armor();
  title('overload', deployment);
  const results = [0.8, 1, 1.5, 3].map((factor) => {
    print(`  offered ${factor} times the bound`);
    return run('overload', deployment, streamsOf(deployment, factor));
  });
  const goodput = results.map(({ tokensPerSecond }) => tokensPerSecond);
  print(`  goodput at 3 times over the peak: ${percent(goodput.at(-1)! / Math.max(...goodput))} (target 90%)`);
  print(`  largest deviation from the fair share: ${percent(unfairness(results.at(-1)!, streamsOf(deployment, 3)))} (target 10%)`);
  print(`  longest Retry-After: ${results.at(-1)!.maxRetryAfterMs.toFixed(0)} ms`);
}

function flood() {
  const deployment = armor();
  title('one organisation floods', deployment);
  const streams = streamsOf(deployment, 0.7);
  const window = { durationMs: 12_000 };
  const calm = run('flood', deployment, streams, 'router', window);
  const flooded = run('flood', deployment, scaled(streams, 'org-9', 40), 'router', window);
  const kept = Object.keys(calm.orgTokensPerSecond).filter((org) => org !== 'org-9')
    .map((org) => flooded.orgTokensPerSecond[org]! / calm.orgTokensPerSecond[org]!);
  print(`  lowest share of its calm throughput that another organisation kept: ${percent(Math.min(...kept))}`);
}

const lossAtMs = 7000;
const kept = (deployment: Deployment, check: (zone: string) => boolean) => deployment.fleet.targets
  .filter(({ zone }) => check(zone)).map(({ name }) => name);

function zoneLoss(noticeMs: number) {
  const deployment = armor();
  title(`zone loss noticed after ${noticeMs} ms`, deployment);
  const lost = kept(deployment, (zone) => zone.endsWith('a'));
  const faults: ModelFault[] = [{
    atMs: lossAtMs, apply: (world) => lost.forEach((name) => world.kill(name, noticeMs)),
  }];
  const result = run('zone loss', deployment, streamsOf(deployment, 0.4), 'router', { faults, durationMs: 7000 });
  const mean = (from: number, to: number) => result.timeline.slice(from, to)
    .reduce((sum, n) => sum + n, 0) / (to - from);
  const before = mean(lossAtMs / 100 - 20, lossAtMs / 100);
  const back = result.timeline.findIndex((n, i) => i > lossAtMs / 100 && n >= before * 0.9);
  print(`  gap seen by answers that lost a stage ${quantiles(result.recoveryGap)} ms;`
    + ` throughput back at 90% after ${back === -1 ? 'never' : `${back * 100 - lossAtMs} ms`}`);
}

function rolling() {
  const deployment = armor();
  title('rolling replacement, one target a quarter of a second', deployment);
  const faults = deployment.fleet.targets.flatMap(({ name }, i): ModelFault[] => [
    { atMs: 3000 + i * 250, apply: (world) => world.drain(name) },
    { atMs: 4500 + i * 250, apply: (world) => world.restore(name) },
  ]);
  run('rolling', deployment, streamsOf(deployment, 0.5));
  run('rolling', deployment, streamsOf(deployment, 0.5), 'router', { faults });
}

function links() {
  const deployment = armor();
  title('links of every fourth target degraded tenfold', deployment);
  const names = deployment.fleet.targets.filter((_, i) => i % 4 === 0).map(({ name }) => name);
  const faults: ModelFault[] = [{
    atMs: 1000, apply: (world) => names.forEach((name) => world.degradeLinks(name, 10)),
  }];
  run('links', deployment, streamsOf(deployment, 0.5));
  run('links', deployment, streamsOf(deployment, 0.5), 'router', { faults });
}

function lag() {
  const deployment = armor();
  const policyNames: PolicyName[] = ['router', 'full-view', 'least-load', 'power-of-two'];
  [100, 2000].forEach((reportMs) => {
    title(`load reports every ${reportMs} ms, 12 entries`, deployment);
    policyNames.forEach((policy) => {
      const { loadSpread } = run('lag', deployment, streamsOf(deployment, 0.85), policy, { reportMs, entries: 12 });
      print(`    spread of load over targets (coefficient of variation) ${loadSpread.toFixed(2)}`);
    });
  });
}

function mixed() {
  [1, 2, 3, 4].forEach((seed) => {
    const deployment = deploymentOf(`mixed fleet, seed ${seed}`, mixedFleet(seed));
    title('saturated at 1.2 times the bound', deployment);
    run('mixed', deployment, streamsOf(deployment, 1.2));
  });
}

function drafts() {
  const deployment = falaises();
  title('difficulty queries beside drafts', deployment);
  const chat = streamsOf(deployment, 0.1)
    .map((s) => ({ ...s, cls: 'chat', answerTokens: 60 }));
  [0.3, 1.5].forEach((factor) => {
    const result = run('drafts', deployment, [...streamsOf(deployment, factor), ...chat]);
    print(`    drafts at ${factor} times the bound: first token of queries ${quantiles(result.firstTokenByClass.chat!)} ms`);
  });
}

const experiments: Record<string, () => void> = {
  armor: () => saturated(armor()),
  falaises: () => saturated(falaises()),
  mixed,
  overload,
  flood,
  'zone-loss': () => [20, 1000].forEach(zoneLoss),
  rolling,
  links,
  lag,
  drafts,
};

const named = process.argv.slice(2);
const startedAt = performance.now();
Object.entries(experiments)
  .filter(([name]) => named.length === 0 || named.includes(name))
  .forEach(([, experiment]) => experiment());
mkdirSync('bench/out', { recursive: true });
writeFileSync('bench/out/load.json', JSON.stringify(runs.map(({ experiment, deployment, result }) => ({
  experiment, deployment: deployment.name, boundTokens: deployment.boundTokens, ...result,
})), undefined, 2));
print(`\n${runs.length} runs in ${((performance.now() - startedAt) / 1000).toFixed(0)} s; seed 1; JSON in bench/out/load.json`);
