/** Layers over zones of mixed cards: whole chains, KV memory, holes, copies. */
import fc from 'fast-check';
import { expect, test } from 'vitest';
import {
  chainGroups, holesIn, kvTokensBeside, lengthOf, planLayers, type LayerHost, type LayerRange,
} from '@verbenashunt/core';
import { cardsOf, engine, threeZones } from '../support/cards.js';

type Options = Parameters<typeof planLayers>[2];

const inPlace: Options = { mayMove: false, mayMoveCopies: true };
const adding: Options = { mayMove: false, mayMoveCopies: false };

/** Carries out plans until nothing is left to do. */
function settle(hosts: readonly LayerHost[], options?: Options, rounds = 20): LayerHost[] {
  const planned = new Map(planLayers(engine, hosts, options)
    .map(({ id, lo, hi }) => [id, { lo, hi }]));
  if (planned.size === 0 || rounds === 0) return [...hosts];
  return settle(
    hosts.map((host) => ({ ...host, held: planned.get(host.id) ?? host.held })),
    options,
    rounds - 1,
  );
}

const rangesOf = (hosts: readonly LayerHost[]) => hosts.flatMap(({ held }) => held ?? []);
const holesOf = (hosts: readonly LayerHost[]) => holesIn(rangesOf(hosts), engine.layers);
const inZone = (hosts: readonly LayerHost[], zone: string) => hosts
  .filter((host) => host.zone === zone);
const kvOf = ({ memoryMb, held }: LayerHost) => kvTokensBeside(engine, memoryMb, lengthOf(held!));
const without = (hosts: readonly LayerHost[], ...ids: string[]) => hosts
  .filter(({ id }) => !ids.includes(id));
const empty = (id: string, zone: string): LayerHost => ({
  id, zone, memoryMb: 14_400, stepFactor: 15, held: undefined,
});

const placed = settle(threeZones);

test('a whole chain inside each zone', () => {
  expect(['a', 'b', 'c'].map((zone) => holesOf(inZone(placed, zone)))).toEqual([[], [], []]);
});

test('KV memory for the busiest times of the sheets on every host: 43 streams a second of 926 tokens for 3 s over three zones', () => {
  expect(Math.min(...placed.map(kvOf))).toBeGreaterThan((43 * 926 * 3) / 3);
});

test('no more than fits, whatever the fleet', () => {
  fc.assert(fc.property(
    fc.array(fc.record({
      zone: fc.constantFrom('a', 'b', 'c'), kind: fc.constantFrom(...engine.kinds),
    }), { maxLength: 60 }),
    fc.array(fc.nat(59)),
    (fleet, lost) => {
      const hosts = fleet.map(({ zone, kind: { memoryMb, stepFactor } }, i): LayerHost => ({
        id: String(i), zone, memoryMb, stepFactor, held: undefined,
      }));
      const after = settle(without(settle(hosts), ...lost.map(String)));
      after.forEach(({ held, memoryMb }) => {
        const size = held ? lengthOf(held) : 0;
        expect(size * engine.layerMb).toBeLessThanOrEqual(memoryMb);
        expect(held?.lo ?? 0).toBeGreaterThanOrEqual(0);
        expect(held?.hi ?? 0).toBeLessThanOrEqual(engine.layers);
      });
    },
  ), { seed: 7, numRuns: 60 });
});

test('zones that cannot hold the model alone are joined', () => {
  const hosts = [...cardsOf('a', 1, 2, 3), ...cardsOf('b', 1, 2, 3), ...cardsOf('c', 3, 3, 5)];
  const zones = chainGroups(engine, hosts).map((group) => new Set(group.map(({ zone }) => zone)));
  expect(zones.map(({ size }) => size)).toEqual([1, 2]);
  const after = settle(hosts);
  expect(holesOf(after.filter(({ zone }) => zone !== 'c'))).toEqual([]);
});

test('too small a fleet is ordered nothing', () => {
  expect(planLayers(engine, cardsOf('a', 1, 1, 1))).toEqual([]);
});

const eachLost = placed.map(({ id, zone }): [string, string] => [id, zone]);

test.each(eachLost)('%s lost: only what others hold too is given up, the others stay whole', (id, zone) => {
  const left = without(placed, id);
  const orders = planLayers(engine, left, inPlace);
  const kept = left.filter((host) => !orders.some((order) => order.id === host.id));
  orders.forEach((order) => {
    const { held } = left.find((host) => host.id === order.id)!;
    const isExtended = order.lo <= held!.lo && order.hi >= held!.hi;
    const isCopied = rangesOf(inZone(kept, zone))
      .some(({ lo, hi }) => lo <= held!.lo && hi >= held!.hi);
    expect(isExtended || isCopied).toBe(true);
  });
  const others = ['a', 'b', 'c'].filter((other) => other !== zone);
  const after = settle(left, inPlace);
  expect(others.map((other) => holesOf(inZone(after, other)))).toEqual([[], []]);
});

test.each(eachLost)('%s lost, copies may not move: nothing held is given up, the others stay whole', (id, zone) => {
  const left = without(placed, id);
  planLayers(engine, left, adding).forEach(({ id: target, lo, hi }) => {
    const { held } = left.find((host) => host.id === target)!;
    expect(lo).toBeLessThanOrEqual(held!.lo);
    expect(hi).toBeGreaterThanOrEqual(held!.hi);
  });
  const others = ['a', 'b', 'c'].filter((other) => other !== zone);
  const after = settle(left, adding);
  expect(others.map((other) => holesOf(inZone(after, other)))).toEqual([[], []]);
});

test('most single losses are mended inside the zone, and all once layers may move', () => {
  const isMended = (mayMove: boolean) => ({ id, zone }: LayerHost) => holesOf(
    inZone(settle(without(placed, id), { mayMove, mayMoveCopies: true }), zone),
  ).length === 0;
  const mended = placed.filter(isMended(false));
  expect(mended.length).toBeGreaterThan(placed.length * 0.6);
  const moved = placed.filter(isMended(true));
  expect(moved).toHaveLength(placed.length);
});

test('a third of each zone lost at once: whole again', () => {
  const lost = placed.filter((_, i) => i % 3 === 0).map(({ id }) => id);
  const after = settle(without(placed, ...lost));
  const whole = ['a', 'b', 'c'].filter((zone) => holesOf(inZone(after, zone)).length === 0);
  expect(whole.length).toBeGreaterThan(0);
  expect(holesOf(after)).toEqual([]);
});

test('an empty host fills a hole before others move', () => {
  const left = [...without(placed, 'b-small-6'), empty('new', 'b')];
  const [order, ...rest] = planLayers(engine, left);
  expect([order!.id, rest.length]).toEqual(['new', 0]);
});

test('empty hosts copy different ranges', () => {
  const after = settle([...placed, empty('new-1', 'a'), empty('new-2', 'a')]);
  const held = after.slice(-2).map((host) => host.held as LayerRange);
  expect(held[0]).toBeDefined();
  expect(held[0]).not.toEqual(held[1]);
});

test('a plan that is carried out asks for nothing more', () => {
  expect(planLayers(engine, placed)).toEqual([]);
});

test('everything lost and empty: laid out anew', () => {
  const hosts = placed.map((host) => ({ ...host, held: undefined }));
  expect(holesOf(inZone(settle(hosts), 'a'))).toEqual([]);
});
