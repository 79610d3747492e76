/**
 * Measures the CPU time, traffic and memory of one entry and one agent as their load grows, and
 * fits a line to each series. The daemons under test are real processes; this process simulates
 * their peers. Run by `npm run bench:capacity`.
 */
import { execFileSync } from 'node:child_process';
import { mkdirSync, writeFileSync } from 'node:fs';
import { agentSeries } from './capacity/agent-series.js';
import {
  byAgents, byListedVms, byModels, byOpenRequests, byOrganisations, byReconnects, byRequests,
  byTokens, mapInSequence,
} from './capacity/entry-series.js';
import { createFakeAgents } from './capacity/fake-agents.js';
import { startNodes } from './capacity/nodes.js';
import { renderPage } from './capacity/plot.js';
import type { Series } from './capacity/series.js';

const outDir = new URL('out/', import.meta.url);

const commit = execFileSync('git', ['rev-parse', '--short', 'HEAD']).toString().trim();
const startedAt = performance.now();
const nodes = await startNodes();
const agents = createFakeAgents();
let series: Series[] = [];

try {
  await nodes.apply({ organisations: 10, models: 30 }, 0);
  const { daemon, peerPort } = await nodes.startAgent();
  const entrySeries = await mapInSequence([
    byAgents, byRequests, byTokens, byOpenRequests, byReconnects, byListedVms, byOrganisations,
    byModels,
  ], (run) => {
    console.error(`${Math.round((performance.now() - startedAt) / 1000)} s: entry ${run.name}`);
    return run(nodes, agents);
  });
  series = [
    ...entrySeries.flat(), ...await agentSeries({ pid: daemon.process.pid!, peerPort }),
  ];
} finally {
  agents.close();
  await nodes.stop();
}

const formatNumber = (value: number) => value.toPrecision(3).padStart(10);
const lines = series.map(({
  role, per, of, unit, fit,
}) => `${role.padEnd(6)} ${per.padEnd(30)} ${of.padEnd(7)} ${formatNumber(fit.slope)} ±${formatNumber(fit.slopeError)} ${unit.padEnd(5)} at 0:${formatNumber(fit.intercept)}  R2 ${fit.r2.toFixed(3)}`);
console.log(['role   per                            of           slope       error'].concat(lines).join('\n'));
mkdirSync(outDir, { recursive: true });
writeFileSync(new URL('capacity.json', outDir), JSON.stringify({ commit, series }, undefined, 2));
writeFileSync(new URL('capacity.html', outDir), renderPage(series, `Slopes at ${commit}`));
console.log(`${Math.round((performance.now() - startedAt) / 1000)} s, commit ${commit}; bench/out/capacity.json and capacity.html written`);
