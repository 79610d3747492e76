/** Faults of the soak run: drawn from a seed, one after another, each undone after a while. */
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

const bound: Record<string, string> = { httpPort: '--http-port', peerPort: '--peer-port' };

/** The arguments of a process, with the ports that it got in place of 0. */
function argsOf(daemon: Daemon): string[] {
  const args = daemon.process.spawnargs.slice(2);
  const ready = daemon.ready as Record<string, number> | string;
  const ports = typeof ready === 'string'
    ? { '--port': new URL(ready).port }
    : Object.fromEntries(Object.entries(ready).map(([name, port]) => [bound[name]!, String(port)]));
  Object.entries(ports).forEach(([flag, port]) => {
    const at = args.indexOf(flag);
    if (at === -1) args.push(flag, port);
    else args[at + 1] = port;
  });
  return args;
}

export interface FaultPlan {
  path: Cluster;
  random: () => number;
  kinds: readonly FaultKind[];
  log(line: string): void;
}

export function createFaults({
  path, random, kinds, log,
}: FaultPlan) {
  const pick = <T>(list: readonly T[]): T => list[Math.floor(random() * list.length)]!;
  const named = (prefix: string) => [...path.daemons.keys()]
    .filter((name) => name.startsWith(prefix));

  async function kill(name: string) {
    const daemon = path.daemons.get(name)!;
    const args = argsOf(daemon);
    await daemon.stop('SIGKILL');
    await sleep(random() * maxFreezeMs);
    const start = name.startsWith('engine') ? startStandIn : startDaemon;
    path.daemons.set(name, await start(name, args));
  }

  async function freeze(name: string) {
    const { process: child } = path.daemons.get(name)!;
    child.kill('SIGSTOP');
    await sleep(minFreezeMs + random() * maxFreezeMs);
    child.kill('SIGCONT');
  }

  async function platform(faults: object, healed: object) {
    await path.setFaults(path.platform, faults);
    await sleep(platformFaultMs);
    await path.setFaults(path.platform, healed);
  }

  function withName(name: string, act: (name: string) => Promise<void>): [string, Promise<void>] {
    return [name, act(name)];
  }

  const actions: Record<FaultKind, () => [string, Promise<void>]> = {
    'kill agent': () => withName(pick(named('agent-engine')), kill),
    'kill engine': () => withName(pick(named('engine')), kill),
    'kill entry': () => withName(pick(named('entry')), kill),
    'freeze agent': () => withName(pick(named('agent')), freeze),
    'freeze entry': () => withName(pick(named('entry')), freeze),
    'freeze engine': () => withName(pick(named('engine')), freeze),
    'platform outage': () => ['', platform({ outage: true }, { outage: false })],
    'lost writes': () => ['', platform({ dropResponses: lostWrites }, { dropResponses: 0 })],
    'platform slow': () => ['', platform({ delayMs: 800 }, { delayMs: 0 })],
  };

  /** Brings about one fault and waits until it is undone. */
  return async function bringAbout(): Promise<void> {
    const kind = pick(kinds);
    const [name, undone] = actions[kind]();
    log(`${kind} ${name}`);
    await undone;
  };
}
