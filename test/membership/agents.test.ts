/** An entry's view of its agents under joins, losses, heals and address reuse. */
import { expect, test } from 'vitest';
import { createFakeAgents, stateOf } from '../support/fake-agents.js';

const zones = ['bzh-west-a', 'bzh-west-b', 'bzh-west-c'];

/** Agents of one region, in three zones and three ranges of layers. */
function startFleet(count = 90) {
  const fake = createFakeAgents();
  const agents = Array.from({ length: count }, (_, i) => fake.set(
    { id: `agent-${i}`, port: 7000 + i, zone: zones[Math.floor(i / 3) % 3]! },
    { state: stateOf(`engine-${i}`, (i % 3) * 4, ((i % 3) + 1) * 4) },
  ));
  const tick = (ms: number, stepMs = 1000) => {
    for (let at = 0; at < ms; at += stepMs) {
      fake.peers.update(fake.list());
      fake.clock.advance(stepMs);
    }
  };
  tick(15_000);
  return { ...fake, agents, tick };
}

const nodesOf = ({ peers }: ReturnType<typeof startFleet>) => peers.candidates('rankings', 'v1').map(({ node }) => node);

function expectCovered(fleet: ReturnType<typeof startFleet>, least = 8) {
  const found = fleet.peers.candidates('rankings', 'v1');
  [0, 4, 8].forEach((lo) => {
    expect(found.filter((one) => one.lo === lo).length).toBeGreaterThanOrEqual(least);
  });
}

test('connects to a subset that covers every range', () => {
  const fleet = startFleet();
  expect(fleet.peers.sizes).toEqual({ listed: 90, dialled: 24, open: 24 });
  expectCovered(fleet);
});

test('a join without warning is found by the list and starts slowly', () => {
  const fleet = startFleet(6);
  fleet.set({ id: 'agent-new', port: 8000 }, { state: stateOf('engine-new', 0, 4) });
  fleet.tick(2000);
  const joined = () => fleet.peers.candidates('rankings', 'v1').find(({ node }) => node === 'agent-new')!;
  expect(joined().limit).toBeLessThanOrEqual(2);
  fleet.tick(10_000);
  expect(joined().limit).toBe(10);
});

test('a zone goes and comes back', () => {
  const fleet = startFleet();
  const inZone = ({ vm }: { vm: { zone: string } }) => vm.zone === 'bzh-west-a';
  fleet.agents.filter(inZone).forEach((agent) => Object.assign(agent, { reachable: false }));
  const before = fleet.dials.count;
  fleet.cut(inZone);
  fleet.clock.advance(100);
  expectCovered(fleet);
  expect(fleet.dials.count - before).toBeLessThanOrEqual(30);
  fleet.tick(600_000, 20_000);
  expectCovered(fleet);
  fleet.agents.filter(inZone).forEach((agent) => Object.assign(agent, { reachable: true }));
  fleet.tick(20_000);
  expect(fleet.peers.sizes.open).toBe(24);
  expectCovered(fleet);
});

test('two hundred restarts leave no range without its holders', () => {
  const fleet = startFleet(200);
  fleet.agents.forEach((agent) => {
    Object.assign(agent, { incarnation: 2 });
    fleet.cut((one) => one === agent);
    fleet.clock.advance(200);
    expectCovered(fleet, 7);
  });
  fleet.tick(5000);
  expectCovered(fleet);
  expect(new Set(fleet.peers.list().map(({ incarnation }) => incarnation))).toEqual(new Set([2]));
});

test('a region is cut off for an hour, and borrows nothing it does not need', () => {
  const fleet = startFleet(9);
  Array.from({ length: 9 }, (_, i) => fleet.set(
    {
      id: `far-${i}`, port: 9000 + i, region: 'cap-vert', zone: 'cap-vert-a',
    },
    { state: stateOf(`far-${i}`, (i % 3) * 4, ((i % 3) + 1) * 4) },
  ));
  fleet.tick(3000);
  expect(nodesOf(fleet).every((node) => node.startsWith('agent-'))).toBe(true);
  fleet.agents.forEach((agent) => Object.assign(agent, { reachable: false }));
  fleet.cut(({ vm }) => vm.region === 'bzh-west');
  fleet.tick(3_600_000, 20_000);
  expect(nodesOf(fleet).length).toBe(6);
  expectCovered(fleet, 2);
  fleet.agents.forEach((agent) => Object.assign(agent, { reachable: true }));
  fleet.tick(30_000);
  expect(nodesOf(fleet).sort()).toEqual(fleet.agents.map(({ vm }) => vm.id).sort());
});

test('another node at a known address does not pass for the old one', () => {
  const fleet = startFleet(3);
  fleet.cut(({ vm }) => vm.port === 7000);
  fleet.set({ id: 'agent-x', port: 7000 }, { state: stateOf('engine-x', 0, 4) });
  fleet.tick(3000);
  expect(nodesOf(fleet)).not.toContain('agent-0');
  expect(nodesOf(fleet)).toContain('agent-x');
});

test('an empty list takes nothing away that speaks for itself', () => {
  const fleet = startFleet(6);
  fleet.peers.update([]);
  fleet.clock.advance(120_000);
  expect(nodesOf(fleet)).toHaveLength(6);
});

test('leaving by the list: the agent is told, gets no work, and an older list changes nothing', () => {
  const fleet = startFleet(6);
  const live = fleet.list();
  fleet.peers.update(live.map((vm) => (vm.id === 'agent-2' ? { ...vm, state: 'leaving' } : vm)));
  expect(nodesOf(fleet)).not.toContain('agent-2');
  expect(fleet.agents[2]!.told.map(({ t }) => t)).toContain('leave');
  fleet.peers.update(live);
  expect(nodesOf(fleet)).not.toContain('agent-2');
});
