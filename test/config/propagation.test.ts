/** Accepted configuration reaches every process and never reverts; runs separate processes. */
import { fileURLToPath } from 'node:url';
import { afterEach, expect, test } from 'vitest';
import { createConfigHolder, SystemClock } from '@verbenashunt/core';
import { createConfigStore } from '@verbenashunt/entry';
import { createPlatformClient } from '@verbenashunt/wire';
import {
  startDaemon, startCluster, waitFor, type Cluster, type ClusterSpec,
} from '@verbenashunt/stand-ins';
import { drainCommand, undrainCommand } from '../support/config.js';
import { fetchRevision, sendCommand } from '../support/operators.js';
import { createRelay, type Relay } from '../support/relay.js';

const declarations = fileURLToPath(new URL('../fixtures/config', import.meta.url));
/** A poll interval long enough that no process reads the head again during a test. */
const neverPoll = ['--head-poll-ms', '600000'];

let cluster: Cluster;

const start = async (entryFlags: string[] = [], listed?: ClusterSpec['rewriteVm']) => {
  cluster = await startCluster({
    model: 'none',
    layers: 1,
    fleet: 'armor-rankings',
    engines: [],
    services: 3,
    entries: 3,
    declarations,
    entryFlags,
    ...(listed ? { rewriteVm: listed } : {}),
  });
  return cluster;
};

const httpUrl = (name: string) => {
  const { httpPort } = cluster.daemons.get(name)!.ready as { httpPort: number };
  return `http://127.0.0.1:${httpPort}`;
};
const daemonNames = () => [...cluster.daemons.keys()].filter((name) => /^(entry|agent)-/.test(name));

const waitForRevision = (revision: number, names: string[]) => waitFor(
  `revision ${revision} at ${names.join(', ')}`,
  async () => (await Promise.all(names.map((name) => fetchRevision(httpUrl(name)))))
    .every((seen) => seen === revision),
);

/** Commits as an entry that exits before it announces the revision to any peer. */
async function commitFromEndedEntry(target: string) {
  const platform = createPlatformClient(cluster.platform);
  const config = createConfigHolder(() => {});
  const store = createConfigStore({
    platform, clock: new SystemClock(), random: Math.random, config,
  });
  await store.catchUp();
  const outcome = await store.submit(drainCommand('from-ended-entry', config.revision, target), 'founder');
  await platform.close();
  return outcome;
}

afterEach(() => cluster?.stop());

test('a revision reaches all processes when its entry exits right after the commit', async () => {
  await start();
  expect(await commitFromEndedEntry('app-1')).toEqual({ outcome: 'accepted', revision: 2 });
  await cluster.daemons.get('entry-1')!.stop('SIGKILL');
  await waitForRevision(2, daemonNames().filter((name) => name !== 'entry-1'));
});

test('a revision reaches all processes when the table service fails after the commit', async () => {
  const { entries } = await start(neverPoll);
  const { outcome } = await sendCommand(entries[0]!, drainCommand('c-1', 1, 'app-1'));
  await cluster.setFaults(cluster.platform, { outage: true });
  expect(outcome).toMatchObject({ outcome: 'accepted', revision: 2 });
  await waitForRevision(2, daemonNames());
  const refused = await sendCommand(entries[1]!, undrainCommand('c-2', 2, 'app-1'));
  expect(refused).toMatchObject({ status: 503, outcome: { outcome: 'refused', code: 'platform_unavailable' } });
  await cluster.setFaults(cluster.platform, { outage: false });
  const again = await sendCommand(entries[1]!, undrainCommand('c-2', 2, 'app-1'));
  expect(again.outcome).toMatchObject({ outcome: 'accepted', revision: 3 });
});

test('an entry and an agent that were suspended catch up after they resume', async () => {
  const { entries } = await start(neverPoll);
  const suspended = ['entry-2', 'agent-app-2'].map((name) => cluster.daemons.get(name)!.process);
  suspended.forEach((child) => child.kill('SIGSTOP'));
  const { outcome } = await sendCommand(entries[0]!, drainCommand('c-1', 1, 'app-1'));
  expect(outcome).toMatchObject({ outcome: 'accepted' });
  await waitForRevision(2, daemonNames().filter((name) => name !== 'entry-2' && name !== 'agent-app-2'));
  suspended.forEach((child) => child.kill('SIGCONT'));
  await waitForRevision(2, daemonNames());
});

test('an agent catches up after a network partition', async () => {
  let relay: Relay | undefined;
  const { entries } = await start(neverPoll, async (vm) => {
    if (vm.id !== 'agent-app-2') return vm;
    relay = await createRelay(vm.port);
    return { ...vm, port: relay.port };
  });
  relay!.dropData({ includeNew: true });
  relay!.resetConnections();
  const { outcome } = await sendCommand(entries[0]!, drainCommand('c-1', 1, 'app-2'));
  expect(outcome).toMatchObject({ outcome: 'accepted' });
  await waitForRevision(2, daemonNames().filter((name) => name !== 'agent-app-2'));
  expect(await fetchRevision(httpUrl('agent-app-2'))).toBe(1);
  relay!.heal();
  await waitForRevision(2, ['agent-app-2']);
  await relay!.close();
});

test('an entry that starts during a platform outage receives the configuration from a peer', async () => {
  await start(neverPoll);
  await cluster.setFaults(cluster.platform, { outage: true });
  const late = await startDaemon('entry-9', [
    'entry', '--node', 'entry-9', '--zone', 'bzh-west-a', '--region', 'bzh-west', '--peer-port', '0',
    '--http-port', '0', '--platform-url', cluster.platform, ...neverPoll,
  ]);
  cluster.daemons.set('entry-9', late);
  await waitForRevision(1, ['entry-9']);
});
