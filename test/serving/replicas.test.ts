/** Replicas spread the starts of streams and limit the effect of lost targets. */
import { expect, test } from 'vitest';
import {
  chooseServingChain, findGaps, planLayers, type ServingTarget,
} from '@verbenashunt/core';
import {
  createHosts, engine, threeZones, type TestHost,
} from '../support/layer-hosts.js';

const size = { promptTokens: 772, answerTokens: 154 };
const streams = 40;

/** Applies plans to the hosts until no plan changes anything, or `rounds` are used up. */
function applyPlans(hosts: readonly TestHost[], rounds = 10): TestHost[] {
  const planned = new Map(planLayers(engine, hosts).map(({ id, lo, hi }) => [id, { lo, hi }]));
  const next = hosts.map((host) => ({ ...host, held: planned.get(host.id) ?? host.held }));
  return planned.size === 0 || rounds === 0 ? next : applyPlans(next, rounds - 1);
}

const toTarget = ({
  id, zone, kind, held,
}: TestHost): ServingTarget => ({
  id,
  service: 'pool',
  address: id,
  zone,
  draining: false,
  slots: 134,
  kind,
  held: held && { ...held, version: 1 },
  startedAt: 1,
});

/** Routes `streams` concurrent streams; returns the targets of the chain of each. */
function routeStreams(hosts: readonly TestHost[]): string[][] {
  const tokens = new Map<string, number>();
  const targets = hosts.map(toTarget);
  return Array.from({ length: streams }, () => {
    const stages = chooseServingChain({
      engine,
      targets,
      size,
      zone: hosts[0]!.zone,
      tokensAt: (id) => tokens.get(id) ?? 0,
      slowdownOf: () => 1,
    })!.map(({ node }) => node);
    stages.forEach((id) => tokens.set(
      id,
      (tokens.get(id) ?? 0) + size.promptTokens + size.answerTokens,
    ));
    return stages;
  });
}

/** Share of the streams whose chain includes a target. */
const streamShare = (chains: string[][], id: string) => chains
  .filter((stages) => stages.includes(id)).length / chains.length;

const zones = ['a', 'b', 'c'].map((zone): [string, TestHost[]] => [
  zone, threeZones.filter((host) => host.zone === zone),
]);

test.each(zones)('zone %s: streams start evenly at three or more targets', (_, hosts) => {
  const chains = routeStreams(applyPlans(hosts));
  const starts = new Set(chains.map(([first]) => first!));
  expect(starts.size).toBeGreaterThanOrEqual(3);
  starts.forEach((id) => expect(streamShare(chains, id)).toBeLessThan(1.5 / starts.size));
});

test('a host that holds nothing takes the first layers while those with them limit their rate', () => {
  const placed = applyPlans(createHosts('a', 3, 3, 5));
  const limited = placed.map((host) => ({ ...host, isLimited: host.held?.lo === 0 }));
  const added = createHosts('a', 0, 0, 6).slice(-1).map((host) => ({ ...host, id: 'added' }));
  const heldByAdded = (hosts: readonly TestHost[]) => applyPlans([...hosts, ...added])
    .find(({ id }) => id === 'added')?.held?.lo;
  expect(heldByAdded(placed)).not.toBe(0);
  expect(heldByAdded(limited)).toBe(0);
});

test.each(zones)('zone %s: the loss of a target interrupts under 85% of the streams on average', (_, hosts) => {
  const placed = applyPlans(hosts);
  const chains = routeStreams(placed);
  const interrupted = placed.map(({ id }) => streamShare(chains, id));
  expect(interrupted.reduce((sum, share) => sum + share, 0) / interrupted.length)
    .toBeLessThan(0.85);
});

test.each(zones)('zone %s: the zone recovers from the loss of two targets at once for over two thirds of all pairs', (_, hosts) => {
  const placed = applyPlans(hosts);
  const pairs = placed.flatMap((a, i) => placed.slice(i + 1).map((b) => [a.id, b.id]));
  const repairable = pairs.filter((lost) => {
    const after = applyPlans(placed.filter(({ id }) => !lost.includes(id)));
    return findGaps(after.flatMap(({ held }) => held ?? []), engine.layers).length === 0;
  });
  expect(repairable.length / pairs.length).toBeGreaterThan(2 / 3);
});
