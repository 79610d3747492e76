/** What copies of ranges do for callers when targets are lost, on the cards of a deployment. */
import { expect, test } from 'vitest';
import {
  chooseServingChain, holesIn, planLayers, type ServingTarget,
} from '@verbenashunt/core';
import { engine, threeZones, type Card } from '../support/cards.js';

const size = { promptTokens: 772, answerTokens: 154 };
const streams = 40;

/** The cards with the layers that plans give them, carried out until nothing is left to do. */
function laid(hosts: readonly Card[], rounds = 10): Card[] {
  const planned = new Map(planLayers(engine, hosts).map(({ id, lo, hi }) => [id, { lo, hi }]));
  const next = hosts.map((host) => ({ ...host, held: planned.get(host.id) ?? host.held }));
  return planned.size === 0 || rounds === 0 ? next : laid(next, rounds - 1);
}

const toTarget = ({
  id, zone, kind, held,
}: Card): ServingTarget => ({
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

/** The targets of each of many streams that run at once. */
function play(hosts: readonly Card[]): string[][] {
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

/** Share of the streams that pass through a target. */
const shareAt = (chains: string[][], id: string) => chains
  .filter((stages) => stages.includes(id)).length / chains.length;

const zones = ['a', 'b', 'c'].map((zone): [string, Card[]] => [
  zone, threeZones.filter((card) => card.zone === zone),
]);

test.each(zones)('zone %s: streams begin at several targets alike', (_, hosts) => {
  const chains = play(laid(hosts));
  const firsts = new Set(chains.map(([first]) => first!));
  expect(firsts.size).toBeGreaterThanOrEqual(3);
  firsts.forEach((id) => expect(shareAt(chains, id)).toBeLessThan(1.5 / firsts.size));
});

test.each(zones)('zone %s: a lost target breaks at most 0.85 of the streams, on average', (_, hosts) => {
  const placed = laid(hosts);
  const chains = play(placed);
  const broken = placed.map(({ id }) => shareAt(chains, id));
  expect(broken.reduce((sum, share) => sum + share, 0) / broken.length).toBeLessThan(0.85);
});

test.each(zones)('zone %s: two targets of three pairs lost at once are mended in place', (_, hosts) => {
  const placed = laid(hosts);
  const pairs = placed.flatMap((a, i) => placed.slice(i + 1).map((b) => [a.id, b.id]));
  const mended = pairs.filter((lost) => {
    const after = laid(placed.filter(({ id }) => !lost.includes(id)));
    return holesIn(after.flatMap(({ held }) => held ?? []), engine.layers).length === 0;
  });
  expect(mended.length / pairs.length).toBeGreaterThan(2 / 3);
});
