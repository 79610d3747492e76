/** Fault injection for the soak test: random faults, each reverted after a while. */
import {
  startDaemon, startStandIn, type Daemon, type Cluster,
} from '@verbenashunt/stand-ins';

export type FaultKind = 'kill agent' | 'kill engine' | 'kill entry' | 'freeze agent' | 'freeze entry'
  | 'freeze engine' | 'platform outage' | 'lost writes' | 'platform slow';

const maxFreezeMs = 3000;
const minFreezeMs = 200;
const platformFaultMs = 1500;
const lostWrites = 5;

const sleep = (ms: number) => new Promise((resolve) => {
  setTimeout(resolve, ms);
});

const flagOfPort: Record<string, string> = { httpPort: '--http-port', peerPort: '--peer-port' };

/** Command line of a daemon, with the ports it bound to in place of port 0. */
function argsOf(daemon: Daemon): string[] {
  const args = daemon.process.spawnargs.slice(2);
  const ready = daemon.ready as Record<string, number> | string;
  const ports = typeof ready === 'string'
    ? { '--port': new URL(ready).port }
    : Object.fromEntries(Object.entries(ready)
      .map(([name, port]) => [flagOfPort[name]!, String(port)]));
  Object.entries(ports).forEach(([flag, port]) => {
    const at = args.indexOf(flag);
    if (at === -1) args.push(flag, port);
    else args[at + 1] = port;
  });
  return args;
}

export interface FaultInjectorOptions {
  cluster: Cluster;
  random: () => number;
  kinds: readonly FaultKind[];
  log(line: string): void;
}

export function createFaultInjector({
  cluster, random, kinds, log,
}: FaultInjectorOptions) {
  const pick = <T>(list: readonly T[]): T => list[Math.floor(random() * list.length)]!;
  const daemonsNamed = (prefix: string) => [...cluster.daemons.keys()]
    .filter((name) => name.startsWith(prefix));

  async function restartAfterKill(name: string) {
    const daemon = cluster.daemons.get(name)!;
    const args = argsOf(daemon);
    await daemon.stop('SIGKILL');
    await sleep(random() * maxFreezeMs);
    const start = name.startsWith('engine') ? startStandIn : startDaemon;
    cluster.daemons.set(name, await start(name, args));
  }

  async function pauseAndResume(name: string) {
    const { process: child } = cluster.daemons.get(name)!;
    child.kill('SIGSTOP');
    await sleep(minFreezeMs + random() * maxFreezeMs);
    child.kill('SIGCONT');
  }

  async function injectPlatformFault(faults: object, cleared: object) {
    await cluster.setFaults(cluster.platform, faults);
    await sleep(platformFaultMs);
    await cluster.setFaults(cluster.platform, cleared);
  }

  function startAction(
    name: string,
    action: (name: string) => Promise<void>,
  ): [string, Promise<void>] {
    return [name, action(name)];
  }

  const actions: Record<FaultKind, () => [string, Promise<void>]> = {
    'kill agent': () => startAction(pick(daemonsNamed('agent-engine')), restartAfterKill),
    'kill engine': () => startAction(pick(daemonsNamed('engine')), restartAfterKill),
    'kill entry': () => startAction(pick(daemonsNamed('entry')), restartAfterKill),
    'freeze agent': () => startAction(pick(daemonsNamed('agent')), pauseAndResume),
    'freeze entry': () => startAction(pick(daemonsNamed('entry')), pauseAndResume),
    'freeze engine': () => startAction(pick(daemonsNamed('engine')), pauseAndResume),
    'platform outage': () => ['', injectPlatformFault({ outage: true }, { outage: false })],
    'lost writes': () => ['', injectPlatformFault({ dropResponses: lostWrites }, { dropResponses: 0 })],
    'platform slow': () => ['', injectPlatformFault({ delayMs: 800 }, { delayMs: 0 })],
  };

  /** Injects one random fault and waits until it is reverted. */
  return async function injectFault(): Promise<void> {
    const kind = pick(kinds);
    const [name, reverted] = actions[kind]();
    log(`${kind} ${name}`);
    await reverted;
  };
}
