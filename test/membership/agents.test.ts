/** How an entry tracks its agents when they join, fail, recover or reuse an address. */
import { expect, test } from 'vitest';
import { createFakeAgents, stateOf } from '../support/fake-agents.js';

const zones = ['bzh-west-a', 'bzh-west-b', 'bzh-west-c'];

/** Starts agents in one region, spread over three zones and three layer ranges. */
function startFleet(count = 90) {
  const fakeAgents = createFakeAgents();
  const agents = Array.from({ length: count }, (_, i) => fakeAgents.setAgent(
    { id: `agent-${i}`, port: 7000 + i, zone: zones[Math.floor(i / 3) % 3]! },
    { state: stateOf(`engine-${i}`, (i % 3) * 4, ((i % 3) + 1) * 4) },
  ));
  const tick = (ms: number, stepMs = 1000) => {
    for (let at = 0; at < ms; at += stepMs) {
      fakeAgents.peers.update(fakeAgents.listVms());
      fakeAgents.clock.advance(stepMs);
    }
  };
  tick(15_000);
  return { ...fakeAgents, agents, tick };
}

const nodesOf = ({ peers }: ReturnType<typeof startFleet>) => peers.candidates('rankings', 'v1').map(({ node }) => node);

function expectCovered(fleet: ReturnType<typeof startFleet>, minimum = 8) {
  const candidates = fleet.peers.candidates('rankings', 'v1');
  [0, 4, 8].forEach((lo) => {
    expect(candidates.filter((candidate) => candidate.lo === lo).length)
      .toBeGreaterThanOrEqual(minimum);
  });
}

test('connects to a subset of the agents that covers every layer range', () => {
  const fleet = startFleet();
  expect(fleet.peers.sizes).toEqual({ listed: 90, dialled: 24, open: 24 });
  expectCovered(fleet);
});

test('a new agent in the VM list is found and starts with a low limit', () => {
  const fleet = startFleet(6);
  fleet.setAgent({ id: 'agent-new', port: 8000 }, { state: stateOf('engine-new', 0, 4) });
  fleet.tick(2000);
  const joined = () => fleet.peers.candidates('rankings', 'v1').find(({ node }) => node === 'agent-new')!;
  expect(joined().limit).toBeLessThanOrEqual(2);
  fleet.tick(10_000);
  expect(joined().limit).toBe(10);
});

test('every layer range stays covered while a zone fails and recovers', () => {
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

test('every layer range stays covered while 200 agents restart one after the other', () => {
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

test('an entry uses agents of another region only while its own is unreachable', () => {
  const fleet = startFleet(9);
  Array.from({ length: 9 }, (_, i) => fleet.setAgent(
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

test('another node at a known address is not taken for the old one', () => {
  const fleet = startFleet(3);
  fleet.cut(({ vm }) => vm.port === 7000);
  fleet.setAgent({ id: 'agent-x', port: 7000 }, { state: stateOf('engine-x', 0, 4) });
  fleet.tick(3000);
  expect(nodesOf(fleet)).not.toContain('agent-0');
  expect(nodesOf(fleet)).toContain('agent-x');
});

test('connected agents stay candidates when the VM list is empty', () => {
  const fleet = startFleet(6);
  fleet.peers.update([]);
  fleet.clock.advance(120_000);
  expect(nodesOf(fleet)).toHaveLength(6);
});

test('a leaving agent is notified and gets no work, even if an older VM list follows', () => {
  const fleet = startFleet(6);
  const live = fleet.listVms();
  fleet.peers.update(live.map((vm) => (vm.id === 'agent-2' ? { ...vm, state: 'leaving' } : vm)));
  expect(nodesOf(fleet)).not.toContain('agent-2');
  expect(fleet.agents[2]!.received.map(({ t }) => t)).toContain('leave');
  fleet.peers.update(live);
  expect(nodesOf(fleet)).not.toContain('agent-2');
});
