/** Runs a whole cluster in the test's own process, for tests that kill no process. */
import { fileURLToPath } from 'node:url';
import { pino } from 'pino';
import { request, type Dispatcher } from 'undici';
import { createAgent } from '@verbenashunt/agent';
import { sha256 } from '@verbenashunt/core';
import { createEntry, type Entry } from '@verbenashunt/entry';
import type { AgentSettings, EntrySettings } from '@verbenashunt/schema';
import {
  operatorKey, ProcessError, runCommand, startEngine, startPlatform, startService, waitFor,
  type EngineOptions,
} from '@verbenashunt/stand-ins';

const host = '127.0.0.1';
const layers = 4;
const location = {
  zone: 'zone-a', region: 'region-a', host, peerPort: 0, httpPort: 0,
};

export const callerKey = 'caller-key';

const declarations = fileURLToPath(new URL('../fixtures/frame', import.meta.url));

const defaultEngineOptions: EngineOptions = {
  host,
  port: 0,
  accelerator: {
    kind: 'a', layerMsPerToken: 0, layerMsPerPrefillToken: 0, memoryLayers: 64,
  },
  loaded: [{
    model: 'm', version: 'v1', lo: 0, hi: layers, layers,
  }],
  checksFencing: true,
  maxBatch: 64,
  batchShare: 0,
  loadLagMs: 50,
  cacheBlocks: 16,
  cacheEventDelayMs: 10,
  cacheEventGapEvery: 0,
  loadMsPerLayer: 0,
  resumeGraceMs: 2000,
};

export interface InProcessOptions {
  /** Environment of the `apply` command. */
  env?: NodeJS.ProcessEnv;
  /** Dispatcher for requests to the entry, which then uses HTTPS. */
  dispatcher?: Dispatcher;
  agentSettings?: Partial<AgentSettings>;
  /** Maps the engine's URL to the one that its agent uses, such as a relay's. */
  engineUrl?(url: string): string | Promise<string>;
  /** The same for the service. */
  serviceUrl?(url: string): string | Promise<string>;
}

export interface InProcessCluster {
  entry: Entry;
  /** URL of the entry's HTTP server. */
  url: string;
  /** Peer port of the engine's agent. */
  peerPort: number;
  /** URL of the platform stand-in. */
  platform: string;
  /** URL of the engine stand-in. */
  engine: string;
  /** Stops the entry alone; only the first call, by `stop` as well, has an effect. */
  stopEntry(signal?: AbortSignal): Promise<unknown>;
  stop(): Promise<void>;
}

/** Starts a platform, an engine, a service, an agent for each and one entry; waits until ready. */
export async function startInProcessCluster(
  entrySettings: Partial<EntrySettings> = {},
  engineOptions: Partial<EngineOptions> = {},
  {
    env = {}, dispatcher, engineUrl = (url) => url, serviceUrl = (url) => url, agentSettings = {},
  }: InProcessOptions = {},
): Promise<InProcessCluster> {
  const log = pino({ level: 'silent' });
  const platformStandIn = await startPlatform({ host, port: 0, vms: [] });
  const engineStandIn = await startEngine({ ...defaultEngineOptions, ...engineOptions });
  const serviceStandIn = await startService({ host, port: 0 });
  const startAgent = (target: string, targetKind: 'engine' | 'service', targetUrl: string) => createAgent({
    ...location, node: `agent-${target}`, platformUrl: platformStandIn.url, target, fleet: 'fleet', targetKind, targetUrl, ...agentSettings,
  }, { log });
  const agents = await Promise.all([startAgent('engine', 'engine', await engineUrl(engineStandIn.url)), startAgent('app', 'service', await serviceUrl(serviceStandIn.url))]);
  const vms = agents.map(({ peerPort }, i) => ({
    id: ['agent-engine', 'agent-app'][i], role: 'agent', zone: location.zone, region: location.region, host, port: peerPort, state: 'live',
  }));
  const put = await request(`${platformStandIn.url}/vms`, { method: 'PUT', body: JSON.stringify({ vms }) });
  await put.body.dump();
  const entry = await createEntry({
    ...location, node: 'entry-1', platformUrl: platformStandIn.url, vmPollMs: 50, stopNoticeMs: 0, bootstrapOperatorHash: sha256(operatorKey), ...entrySettings,
  }, { log });
  const url = `${dispatcher ? 'https' : 'http'}://${host}:${entry.httpPort}`;
  const applied = await runCommand(['apply', '-f', declarations, '--entry', url, '--key', operatorKey], env);
  if (applied.code !== 0) throw new ProcessError(`apply failed: ${applied.stdout}${applied.stderr}`);
  await waitFor('both agents to be serving', async () => {
    const res = await request(`${url}/operator/v1/state`, {
      headers: { authorization: `Bearer ${operatorKey}` }, ...dispatcher && { dispatcher },
    });
    const state = await res.body.json() as { agents?: { state: { serving: boolean } }[] };
    return state.agents?.filter((agent) => agent.state.serving).length === agents.length;
  });
  let entryStopped: Promise<unknown> | undefined;
  const stopEntry = (signal?: AbortSignal) => {
    entryStopped ??= entry.stop(signal);
    return entryStopped;
  };
  return {
    entry,
    url,
    peerPort: agents[0].peerPort,
    platform: platformStandIn.url,
    engine: engineStandIn.url,
    stopEntry,
    async stop() {
      const aborted = AbortSignal.abort();
      await stopEntry(aborted);
      await Promise.all(agents.map((agent) => agent.stop(aborted)));
      await Promise.all([platformStandIn.close(), engineStandIn.close(), serviceStandIn.close()]);
    },
  };
}
