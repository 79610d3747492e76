/** The daemons in the test's own process, for tests that need no kill. */
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
const place = {
  zone: 'zone-a', region: 'region-a', host, peerPort: 0, httpPort: 0,
};

export const callerKey = 'caller-key';

const declarations = fileURLToPath(new URL('../fixtures/frame', import.meta.url));

const engineOptions: EngineOptions = {
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

/** How the processes reach each other. */
export interface Reach {
  env?: NodeJS.ProcessEnv;
  dispatcher?: Dispatcher;
  agentSettings?: Partial<AgentSettings>;
  /** Puts something between the agent and its engine. */
  engineUrl?(url: string): string | Promise<string>;
}

export interface InProcess {
  entry: Entry;
  url: string;
  /** Peer port of the engine's agent. */
  peerPort: number;
  platform: string;
  engine: string;
  stop(): Promise<void>;
}

/** Starts platform, engine, service, two agents and one entry, and waits until all serve. */
export async function startInProcess(
  settings: Partial<EntrySettings> = {},
  engine: Partial<EngineOptions> = {},
  {
    env = {}, dispatcher, engineUrl = (url) => url, agentSettings = {},
  }: Reach = {},
): Promise<InProcess> {
  const log = pino({ level: 'silent' });
  const platform = await startPlatform({ host, port: 0, vms: [] });
  const model = await startEngine({ ...engineOptions, ...engine });
  const app = await startService({ host, port: 0 });
  const agentOf = (target: string, targetKind: 'engine' | 'service', targetUrl: string) => createAgent({
    ...place, node: `agent-${target}`, platformUrl: platform.url, target, fleet: 'fleet', targetKind, targetUrl, ...agentSettings,
  }, { log });
  const agents = await Promise.all([agentOf('engine', 'engine', await engineUrl(model.url)), agentOf('app', 'service', app.url)]);
  const vms = agents.map(({ peerPort }, i) => ({
    id: ['agent-engine', 'agent-app'][i], role: 'agent', zone: place.zone, region: place.region, host, port: peerPort, state: 'live',
  }));
  const put = await request(`${platform.url}/vms`, { method: 'PUT', body: JSON.stringify({ vms }) });
  await put.body.dump();
  const entry = await createEntry({
    ...place, node: 'entry-1', platformUrl: platform.url, vmPollMs: 50, stopNoticeMs: 0, bootstrapOperatorHash: sha256(operatorKey), ...settings,
  }, { log });
  const url = `${dispatcher ? 'https' : 'http'}://${host}:${entry.httpPort}`;
  const applied = await runCommand(['apply', '-f', declarations, '--entry', url, '--key', operatorKey], env);
  if (applied.code !== 0) throw new ProcessError(`apply failed: ${applied.stdout}${applied.stderr}`);
  await waitFor('both agents to serve', async () => {
    const res = await request(`${url}/operator/v1/state`, {
      headers: { authorization: `Bearer ${operatorKey}` }, ...dispatcher && { dispatcher },
    });
    const state = await res.body.json() as { agents?: { state: { serving: boolean } }[] };
    return state.agents?.filter((agent) => agent.state.serving).length === agents.length;
  });
  return {
    entry,
    url,
    peerPort: agents[0].peerPort,
    platform: platform.url,
    engine: model.url,
    async stop() {
      const hurry = AbortSignal.abort();
      await entry.stop(hurry);
      await Promise.all(agents.map((agent) => agent.stop(hurry)));
      await Promise.all([platform.close(), model.close(), app.close()]);
    },
  };
}
