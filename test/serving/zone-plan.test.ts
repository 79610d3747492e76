/** Placement over zones with mixed accelerators: complete chains, KV memory, gaps, replicas. */
import fc from 'fast-check';
import { expect, test } from 'vitest';
import {
  chainGroups, findGaps, kvTokensForLayers, countLayers, planLayers,
  type LayerHost, type LayerRange,
} from '@verbenashunt/core';
import { createHosts, engine, threeZones } from '../support/layer-hosts.js';

type Options = Parameters<typeof planLayers>[2];

const replicasMayMove: Options = { mayMove: false, mayMoveReplicas: true };
const nothingMayMove: Options = { mayMove: false, mayMoveReplicas: false };

/** Applies plans to the hosts until no plan changes anything, or `rounds` are used up. */
function applyPlans(hosts: readonly LayerHost[], options?: Options, rounds = 20): LayerHost[] {
  const planned = new Map(planLayers(engine, hosts, options)
    .map(({ id, lo, hi }) => [id, { lo, hi }]));
  if (planned.size === 0 || rounds === 0) return [...hosts];
  return applyPlans(
    hosts.map((host) => ({ ...host, held: planned.get(host.id) ?? host.held })),
    options,
    rounds - 1,
  );
}

const rangesOf = (hosts: readonly LayerHost[]) => hosts.flatMap(({ held }) => held ?? []);
const gapsOf = (hosts: readonly LayerHost[]) => findGaps(rangesOf(hosts), engine.layers);
const inZone = (hosts: readonly LayerHost[], zone: string) => hosts
  .filter((host) => host.zone === zone);
const kvTokensOf = ({ memoryMb, held }: LayerHost) => (
  kvTokensForLayers(engine, memoryMb, countLayers(held!)));
const without = (hosts: readonly LayerHost[], ...ids: string[]) => hosts
  .filter(({ id }) => !ids.includes(id));
const empty = (id: string, zone: string): LayerHost => ({
  id,
  zone,
  memoryMb: 14_400,
  stepFactor: 15,
  held: undefined,
  isLimited: false,
});

const placed = applyPlans(threeZones);

test('each zone has a complete chain', () => {
  expect(['a', 'b', 'c'].map((zone) => gapsOf(inZone(placed, zone)))).toEqual([[], [], []]);
});

test('every host has KV cache for a third of the peak load: 43 streams/s of 926 tokens for 3 s', () => {
  expect(Math.min(...placed.map(kvTokensOf))).toBeGreaterThan((43 * 926 * 3) / 3);
});

test('ranges fit in memory and in the model for any fleet', () => {
  fc.assert(fc.property(
    fc.array(fc.record({
      zone: fc.constantFrom('a', 'b', 'c'), kind: fc.constantFrom(...engine.kinds),
    }), { maxLength: 60 }),
    fc.array(fc.nat(59)),
    (fleet, lost) => {
      const hosts = fleet.map(({ zone, kind: { memoryMb, stepFactor } }, i): LayerHost => ({
        id: String(i),
        zone,
        memoryMb,
        stepFactor,
        held: undefined,
        isLimited: false,
      }));
      const after = applyPlans(without(applyPlans(hosts), ...lost.map(String)));
      after.forEach(({ held, memoryMb }) => {
        const size = held ? countLayers(held) : 0;
        expect(size * engine.layerMb).toBeLessThanOrEqual(memoryMb);
        expect(held?.lo ?? 0).toBeGreaterThanOrEqual(0);
        expect(held?.hi ?? 0).toBeLessThanOrEqual(engine.layers);
      });
    },
  ), { seed: 7, numRuns: 60 });
});

test('zones that cannot hold the model alone are joined', () => {
  const hosts = [...createHosts('a', 1, 2, 3), ...createHosts('b', 1, 2, 3), ...createHosts('c', 3, 3, 5)];
  const zones = chainGroups(engine, hosts).map((group) => new Set(group.map(({ zone }) => zone)));
  expect(zones.map(({ size }) => size)).toEqual([1, 2]);
  const after = applyPlans(hosts);
  expect(gapsOf(after.filter(({ zone }) => zone !== 'c'))).toEqual([]);
});

test('nothing is planned for a fleet that cannot hold the model', () => {
  expect(planLayers(engine, createHosts('a', 1, 1, 1))).toEqual([]);
});

const losses = placed.map(({ id, zone }): [string, string] => [id, zone]);

test.each(losses)('%s lost: only layers that others hold are dropped, other zones stay complete', (id, zone) => {
  const left = without(placed, id);
  const planned = planLayers(engine, left, replicasMayMove);
  const kept = left.filter((host) => !planned.some((range) => range.id === host.id));
  planned.forEach((range) => {
    const { held } = left.find((host) => host.id === range.id)!;
    const isExtended = range.lo <= held!.lo && range.hi >= held!.hi;
    const isReplicated = rangesOf(inZone(kept, zone))
      .some(({ lo, hi }) => lo <= held!.lo && hi >= held!.hi);
    expect(isExtended || isReplicated).toBe(true);
  });
  const others = ['a', 'b', 'c'].filter((other) => other !== zone);
  const after = applyPlans(left, replicasMayMove);
  expect(others.map((other) => gapsOf(inZone(after, other)))).toEqual([[], []]);
});

test.each(losses)('%s lost, replicas may not move: no layers are dropped, other zones stay complete', (id, zone) => {
  const left = without(placed, id);
  planLayers(engine, left, nothingMayMove).forEach(({ id: target, lo, hi }) => {
    const { held } = left.find((host) => host.id === target)!;
    expect(lo).toBeLessThanOrEqual(held!.lo);
    expect(hi).toBeGreaterThanOrEqual(held!.hi);
  });
  const others = ['a', 'b', 'c'].filter((other) => other !== zone);
  const after = applyPlans(left, nothingMayMove);
  expect(others.map((other) => gapsOf(inZone(after, other)))).toEqual([[], []]);
});

test('a zone recovers from the loss of most single hosts, and of any if layers may move', () => {
  const recovers = (mayMove: boolean) => ({ id, zone }: LayerHost) => gapsOf(
    inZone(applyPlans(without(placed, id), { mayMove, mayMoveReplicas: true }), zone),
  ).length === 0;
  const recovered = placed.filter(recovers(false));
  expect(recovered.length).toBeGreaterThan(placed.length * 0.6);
  const recoveredByMoves = placed.filter(recovers(true));
  expect(recoveredByMoves).toHaveLength(placed.length);
});

test('a third of each zone lost at once: at least one zone recovers completely', () => {
  const lost = placed.filter((_, i) => i % 3 === 0).map(({ id }) => id);
  const after = applyPlans(without(placed, ...lost));
  const complete = ['a', 'b', 'c'].filter((zone) => gapsOf(inZone(after, zone)).length === 0);
  expect(complete.length).toBeGreaterThan(0);
  expect(gapsOf(after)).toEqual([]);
});

test('an empty host fills a gap before others move', () => {
  const left = [...without(placed, 'b-small-6'), empty('new', 'b')];
  const [range, ...rest] = planLayers(engine, left);
  expect([range!.id, rest.length]).toEqual(['new', 0]);
});

test('empty hosts replicate different ranges', () => {
  const after = applyPlans([...placed, empty('new-1', 'a'), empty('new-2', 'a')]);
  const held = after.slice(-2).map((host) => host.held as LayerRange);
  expect(held[0]).toBeDefined();
  expect(held[0]).not.toEqual(held[1]);
});

test('nothing more is planned once all plans are applied', () => {
  expect(planLayers(engine, placed)).toEqual([]);
});

test('hosts that all lost their layers get a new chain', () => {
  const hosts = placed.map((host) => ({ ...host, held: undefined, isLimited: false }));
  expect(gapsOf(inZone(applyPlans(hosts), 'a'))).toEqual([]);
});
