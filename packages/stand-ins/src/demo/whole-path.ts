/** The whole path as separate processes: platform, engines, service, agents and entries. */
import { request } from 'undici';
import { sha256 } from '@verbenashunt/core';
import type { Vm } from '@verbenashunt/schema';
import {
  ProcessError, runCommand, startDaemon, startStandIn, type Daemon,
} from './processes.js';

export const operatorKey = 'operator-key';

export interface EngineSpec {
  lo: number;
  hi: number;
  /** Further flags of the stand-in. */
  flags?: string[];
}

export interface WholePathSpec {
  model: string;
  layers: number;
  engines: EngineSpec[];
  services: number;
  entries: number;
  /** Directory of declarations. */
  declarations: string;
  fleet: string;
  agentFlags?: string[];
  entryFlags?: string[];
  /** Changes what the platform's list says of an agent's VM, for a relay in front of it. */
  listed?: (vm: Vm) => Promise<Vm>;
}

interface EntryState {
  agents?: { state: { serving: boolean } }[];
  revision?: number;
}

export interface WholePath {
  platform: string;
  entries: string[];
  targets: Map<string, string>;
  daemons: Map<string, Daemon>;
  setFaults(url: string, faults: object): Promise<void>;
  stop(): Promise<void>;
}

const zones = ['bzh-west-a', 'bzh-west-b', 'bzh-west-c'];
const region = 'bzh-west';
const readyPollMs = 50;
const readyTimeoutMs = 20_000;

const place = (index: number) => ['--zone', zones[index % zones.length]!, '--region', region];

const send = (method: 'PUT' | 'POST', url: string, body: object) => request(url, {
  method, body: JSON.stringify(body), headers: { 'content-type': 'application/json' },
}).then((res) => res.body.text());

/** Polls until the check holds; fails after a fixed time. */
export async function waitFor(
  what: string,
  check: () => Promise<boolean>,
  timeoutMs = readyTimeoutMs,
) {
  const deadline = Date.now() + timeoutMs;
  while (!await check()) {
    if (Date.now() > deadline) throw new ProcessError(`timed out waiting for ${what}`);
    await new Promise((resolve) => {
      setTimeout(resolve, readyPollMs);
    });
  }
}

const stopAll = (daemons: Map<string, Daemon>) => Promise
  .all([...daemons.values()].map((daemon) => daemon.stop('SIGKILL')));

async function start(spec: WholePathSpec, daemons: Map<string, Daemon>): Promise<WholePath> {
  const targets = new Map<string, string>();
  const keep = async (started: Promise<Daemon>) => {
    const daemon = await started;
    daemons.set(daemon.name, daemon);
    return daemon;
  };
  const platform = String((await keep(startStandIn('platform', ['platform']))).ready);

  const engines = spec.engines.map(({ lo, hi, flags = [] }, i) => ({
    name: `engine-${i + 1}`,
    kind: 'engine',
    args: ['engine', '--model', spec.model, '--layers', `${spec.layers}`, '--lo', `${lo}`, '--hi', `${hi}`, ...flags],
  }));
  const services = Array.from({ length: spec.services }, (_, i) => ({
    name: `app-${i + 1}`, kind: 'service', args: ['service'],
  }));
  async function startTarget(
    { name, kind, args }: { name: string; kind: string; args: string[] },
    i: number,
  ): Promise<Vm> {
    const target = await keep(startStandIn(name, args));
    targets.set(name, String(target.ready));
    const agent = await keep(startDaemon(`agent-${name}`, [
      'agent', '--node', `agent-${name}`, ...place(i), '--peer-port', '0', '--http-port', '0',
      '--platform-url', platform, '--target', name, '--fleet', spec.fleet,
      '--target-kind', kind, '--target-url', String(target.ready), ...spec.agentFlags ?? [],
    ]));
    const { peerPort } = agent.ready as { peerPort: number };
    const vm: Vm = {
      id: `agent-${name}`, role: 'agent', zone: zones[i % zones.length]!, region, host: '127.0.0.1', port: peerPort, state: 'live',
    };
    return spec.listed ? spec.listed(vm) : vm;
  }
  const vms = await Promise.all([...engines, ...services].map(startTarget));
  await send('PUT', `${platform}/vms`, { vms });

  async function startEntry(i: number): Promise<{ url: string; vm: Vm }> {
    const id = `entry-${i + 1}`;
    const { ready } = await keep(startDaemon(id, [
      'entry', '--node', id, ...place(i), '--peer-port', '0', '--http-port', '0',
      '--platform-url', platform, '--bootstrap-operator-hash', sha256(operatorKey), ...spec.entryFlags ?? [],
    ]));
    const { httpPort, peerPort } = ready as { httpPort: number; peerPort: number };
    return {
      url: `http://127.0.0.1:${httpPort}`,
      vm: {
        id, role: 'entry', zone: zones[i % zones.length]!, region, host: '127.0.0.1', port: peerPort, state: 'live',
      },
    };
  }
  const started = await Promise.all(Array.from({ length: spec.entries }, (_, i) => startEntry(i)));
  const entries = started.map(({ url }) => url);
  await send('PUT', `${platform}/vms`, { vms: [...vms, ...started.map(({ vm }) => vm)] });

  const applied = await runCommand([
    'apply', '-f', spec.declarations, '--entry', entries[0]!, '--key', operatorKey,
  ]);
  if (applied.code !== 0) throw new ProcessError(`apply failed: ${applied.stdout}${applied.stderr}`);

  const serving = async (url: string) => {
    const res = await request(`${url}/operator/v1/state`, { headers: { authorization: `Bearer ${operatorKey}` } });
    const body = await res.body.json() as EntryState;
    return (body.revision ?? 0) > 0
      && body.agents?.filter(({ state }) => state.serving).length === vms.length;
  };
  await waitFor('every agent to serve at every entry', async () => (
    await Promise.all(entries.map(serving))).every(Boolean));

  return {
    platform,
    entries,
    targets,
    daemons,
    setFaults: async (url, faults) => {
      await send('POST', `${url}/faults`, faults);
    },
    async stop() {
      await stopAll(daemons);
    },
  };
}

/** Starts all processes, applies the declarations and waits until every agent serves. */
export async function startWholePath(spec: WholePathSpec): Promise<WholePath> {
  const daemons = new Map<string, Daemon>();
  try {
    return await start(spec, daemons);
  } catch (err) {
    await stopAll(daemons);
    throw err;
  }
}
