/** Accepted configuration reaches every process and never reverts: separate processes. */
import { fileURLToPath } from 'node:url';
import { afterEach, expect, test } from 'vitest';
import { createConfigHolder, SystemClock } from '@verbenashunt/core';
import { createConfigStore } from '@verbenashunt/entry';
import { createPlatformClient } from '@verbenashunt/wire';
import {
  startDaemon, startWholePath, waitFor, type WholePath, type WholePathSpec,
} from '@verbenashunt/stand-ins';
import { drainCommand, undrainCommand } from '../support/config.js';
import { revisionAt, sendCommand } from '../support/operators.js';
import { createRelay, type Relay } from '../support/relay.js';

const declarations = fileURLToPath(new URL('../fixtures/config', import.meta.url));
/** No process reads the head of the table again within a test. */
const neverPoll = ['--head-poll-ms', '600000'];

let path: WholePath;

const start = async (entryFlags: string[] = [], listed?: WholePathSpec['listed']) => {
  path = await startWholePath({
    model: 'none',
    layers: 1,
    fleet: 'armor-rankings',
    engines: [],
    services: 3,
    entries: 3,
    declarations,
    entryFlags,
    ...(listed ? { listed } : {}),
  });
  return path;
};

const httpOf = (name: string) => {
  const { httpPort } = path.daemons.get(name)!.ready as { httpPort: number };
  return `http://127.0.0.1:${httpPort}`;
};
const daemonNames = () => [...path.daemons.keys()].filter((name) => /^(entry|agent)-/.test(name));

const reach = (revision: number, names: string[]) => waitFor(
  `revision ${revision} at ${names.join(', ')}`,
  async () => (await Promise.all(names.map((name) => revisionAt(httpOf(name)))))
    .every((seen) => seen === revision),
);

/** A commit by an entry that ended before it told anyone. */
async function commitAndEnd(target: string) {
  const platform = createPlatformClient(path.platform);
  const config = createConfigHolder(() => {});
  const store = createConfigStore({
    platform, clock: new SystemClock(), random: Math.random, config,
  });
  await store.catchUp();
  const outcome = await store.submit(drainCommand('from-ended-entry', config.revision, target), 'founder');
  await platform.close();
  return outcome;
}

afterEach(() => path?.stop());

test('the accepting entry ends right after the commit', async () => {
  await start();
  expect(await commitAndEnd('app-1')).toEqual({ outcome: 'accepted', revision: 2 });
  await path.daemons.get('entry-1')!.stop('SIGKILL');
  await reach(2, daemonNames().filter((name) => name !== 'entry-1'));
});

test('the table is down after the commit', async () => {
  const { entries } = await start(neverPoll);
  const { outcome } = await sendCommand(entries[0]!, drainCommand('c-1', 1, 'app-1'));
  await path.setFaults(path.platform, { outage: true });
  expect(outcome).toMatchObject({ outcome: 'accepted', revision: 2 });
  await reach(2, daemonNames());
  const refused = await sendCommand(entries[1]!, undrainCommand('c-2', 2, 'app-1'));
  expect(refused).toMatchObject({ status: 503, outcome: { outcome: 'refused', code: 'platform_unavailable' } });
  await path.setFaults(path.platform, { outage: false });
  const again = await sendCommand(entries[1]!, undrainCommand('c-2', 2, 'app-1'));
  expect(again.outcome).toMatchObject({ outcome: 'accepted', revision: 3 });
});

test('a frozen entry and a frozen agent wake with an old revision', async () => {
  const { entries } = await start(neverPoll);
  const frozen = ['entry-2', 'agent-app-2'].map((name) => path.daemons.get(name)!.process);
  frozen.forEach((child) => child.kill('SIGSTOP'));
  const { outcome } = await sendCommand(entries[0]!, drainCommand('c-1', 1, 'app-1'));
  expect(outcome).toMatchObject({ outcome: 'accepted' });
  await reach(2, daemonNames().filter((name) => name !== 'entry-2' && name !== 'agent-app-2'));
  frozen.forEach((child) => child.kill('SIGCONT'));
  await reach(2, daemonNames());
});

test('a VM is cut and healed', async () => {
  let relay: Relay | undefined;
  const { entries } = await start(neverPoll, async (vm) => {
    if (vm.id !== 'agent-app-2') return vm;
    relay = await createRelay(vm.port);
    return { ...vm, port: relay.port };
  });
  relay!.swallow({ later: true });
  relay!.cut();
  const { outcome } = await sendCommand(entries[0]!, drainCommand('c-1', 1, 'app-2'));
  expect(outcome).toMatchObject({ outcome: 'accepted' });
  await reach(2, daemonNames().filter((name) => name !== 'agent-app-2'));
  expect(await revisionAt(httpOf('agent-app-2'))).toBe(1);
  relay!.heal();
  await reach(2, ['agent-app-2']);
  await relay!.close();
});

test('an entry that starts in an outage serves once a peer told it the head', async () => {
  await start(neverPoll);
  await path.setFaults(path.platform, { outage: true });
  const late = await startDaemon('entry-9', [
    'entry', '--node', 'entry-9', '--zone', 'bzh-west-a', '--region', 'bzh-west', '--peer-port', '0',
    '--http-port', '0', '--platform-url', path.platform, ...neverPoll,
  ]);
  path.daemons.set('entry-9', late);
  await reach(1, ['entry-9']);
});
