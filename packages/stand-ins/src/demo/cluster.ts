/** Starts a local cluster: platform, engines, services, agents and entries as processes. */
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
  /** Additional flags of the stand-in. */
  flags?: string[];
}

export interface ClusterSpec {
  model: string;
  layers: number;
  engines: EngineSpec[];
  services: number;
  entries: number;
  /** Directory with the declarations to apply. */
  declarations: string;
  fleet: string;
  agentFlags?: string[];
  entryFlags?: string[];
  /** Changes the VM list entry of an agent, for example to insert a relay. */
  rewriteVm?: (vm: Vm) => Promise<Vm>;
}

interface EntryState {
  agents?: { state: { serving: boolean } }[];
  revision?: number;
}

export interface Cluster {
  /** URL of the platform stand-in. */
  platform: string;
  /** URLs of the entries. */
  entries: string[];
  /** URLs of the engines and services by name. */
  targets: Map<string, string>;
  /** All processes by name, including the stand-ins. */
  daemons: Map<string, Daemon>;
  setFaults(url: string, faults: object): Promise<void>;
  stop(): Promise<void>;
}

const zones = ['bzh-west-a', 'bzh-west-b', 'bzh-west-c'];
const region = 'bzh-west';
const readyPollMs = 50;
const readyTimeoutMs = 20_000;

const locationFlags = (index: number) => ['--zone', zones[index % zones.length]!, '--region', region];

const sendJson = (method: 'PUT' | 'POST', url: string, body: object) => request(url, {
  method, body: JSON.stringify(body), headers: { 'content-type': 'application/json' },
}).then((res) => res.body.text());

/** Polls until the condition holds; throws after the timeout. */
export async function waitFor(
  description: string,
  condition: () => Promise<boolean>,
  timeoutMs = readyTimeoutMs,
) {
  const deadline = Date.now() + timeoutMs;
  while (!await condition()) {
    if (Date.now() > deadline) throw new ProcessError(`timed out waiting for ${description}`);
    await new Promise((resolve) => {
      setTimeout(resolve, readyPollMs);
    });
  }
}

const stopAll = (daemons: Map<string, Daemon>) => Promise
  .all([...daemons.values()].map((daemon) => daemon.stop('SIGKILL')));

async function startProcesses(spec: ClusterSpec, daemons: Map<string, Daemon>): Promise<Cluster> {
  const targets = new Map<string, string>();
  const track = async (started: Promise<Daemon>) => {
    const daemon = await started;
    daemons.set(daemon.name, daemon);
    return daemon;
  };
  const platform = String((await track(startStandIn('platform', ['platform']))).ready);

  const engineTargets = spec.engines.map(({ lo, hi, flags = [] }, i) => ({
    name: `engine-${i + 1}`,
    kind: 'engine',
    args: ['engine', '--model', spec.model, '--layers', `${spec.layers}`, '--lo', `${lo}`, '--hi', `${hi}`, ...flags],
  }));
  const serviceTargets = Array.from({ length: spec.services }, (_, i) => ({
    name: `app-${i + 1}`, kind: 'service', args: ['service'],
  }));
  async function startTarget(
    { name, kind, args }: { name: string; kind: string; args: string[] },
    i: number,
  ): Promise<Vm> {
    const target = await track(startStandIn(name, args));
    targets.set(name, String(target.ready));
    const agent = await track(startDaemon(`agent-${name}`, [
      'agent', '--node', `agent-${name}`, ...locationFlags(i), '--peer-port', '0', '--http-port', '0',
      '--platform-url', platform, '--target', name, '--fleet', spec.fleet,
      '--target-kind', kind, '--target-url', String(target.ready), ...spec.agentFlags ?? [],
    ]));
    const { peerPort } = agent.ready as { peerPort: number };
    const vm: Vm = {
      id: `agent-${name}`, role: 'agent', zone: zones[i % zones.length]!, region, host: '127.0.0.1', port: peerPort, state: 'live',
    };
    return spec.rewriteVm ? spec.rewriteVm(vm) : vm;
  }
  const vms = await Promise.all([...engineTargets, ...serviceTargets].map(startTarget));
  await sendJson('PUT', `${platform}/vms`, { vms });

  async function startEntry(i: number): Promise<{ url: string; vm: Vm }> {
    const id = `entry-${i + 1}`;
    const { ready } = await track(startDaemon(id, [
      'entry', '--node', id, ...locationFlags(i), '--peer-port', '0', '--http-port', '0',
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
  const startedEntries = await Promise.all(
    Array.from({ length: spec.entries }, (_, i) => startEntry(i)),
  );
  const entries = startedEntries.map(({ url }) => url);
  await sendJson('PUT', `${platform}/vms`, { vms: [...vms, ...startedEntries.map(({ vm }) => vm)] });

  const applied = await runCommand([
    'apply', '-f', spec.declarations, '--entry', entries[0]!, '--key', operatorKey,
  ]);
  if (applied.code !== 0) throw new ProcessError(`apply failed: ${applied.stdout}${applied.stderr}`);

  const areAgentsServing = async (url: string) => {
    const res = await request(`${url}/operator/v1/state`, { headers: { authorization: `Bearer ${operatorKey}` } });
    const body = await res.body.json() as EntryState;
    return (body.revision ?? 0) > 0
      && body.agents?.filter(({ state }) => state.serving).length === vms.length;
  };
  await waitFor('every entry to report every agent as serving', async () => (
    await Promise.all(entries.map(areAgentsServing))).every(Boolean));

  return {
    platform,
    entries,
    targets,
    daemons,
    setFaults: async (url, faults) => {
      await sendJson('POST', `${url}/faults`, faults);
    },
    async stop() {
      await stopAll(daemons);
    },
  };
}

/** Starts all processes, applies the declarations and waits until every agent is serving. */
export async function startCluster(spec: ClusterSpec): Promise<Cluster> {
  const daemons = new Map<string, Daemon>();
  try {
    return await startProcesses(spec, daemons);
  } catch (err) {
    await stopAll(daemons);
    throw err;
  }
}
