/** Starts the daemons under test and applies their configuration. */
import { mkdtempSync, rmSync, writeFileSync } from 'node:fs';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { request } from 'undici';
import { sha256 } from '@verbenashunt/core';
import type { Vm } from '@verbenashunt/schema';
import {
  ProcessError, runCommand, startDaemon, startStandIn, type Daemon,
} from '@verbenashunt/stand-ins';

const operatorKey = 'bench-operator';
export const callerKey = 'bench-caller';
const layers = 12;

export interface DeclarationSize {
  organisations: number;
  models: number;
}

/**
 * Declarations as JSON, which is valid YAML. The first organisation is the caller of the bench; its
 * weight depends on `change`, so that each change produces a new revision.
 */
function declarationsOf({ organisations, models }: DeclarationSize, change: number) {
  return JSON.stringify({
    fleets: [{
      name: 'bench',
      models: Array.from({ length: models }, (_, i) => ({ name: `m${i}`, version: 'v1', layers })),
    }],
    organisations: Array.from({ length: organisations }, (_, i) => ({
      name: `org-${i}`,
      keyHashes: [sha256(i === 0 ? callerKey : `key-${i}`)],
      fleets: ['bench'],
      limits: { weight: i === 0 ? 1 + change / 1000 : 1 },
    })),
    operators: [{ name: 'bench', keyHashes: [sha256(operatorKey)] }],
  });
}

export interface Nodes {
  platform: string;
  entry: Daemon;
  entryUrl: string;
  /** Sets the platform's list of VMs; the agent under test is always added to it. */
  setVms(vms: readonly Vm[]): Promise<void>;
  /** Applies declarations; a new value of `change` alters one organisation. */
  apply(declared: DeclarationSize, change: number): Promise<void>;
  startEntry(node: string): Promise<Daemon>;
  startAgent(): Promise<{ daemon: Daemon; peerPort: number }>;
  stop(): Promise<void>;
}

const locationFlags = [
  '--zone', 'z-a', '--region', 'r-a', '--peer-port', '0', '--http-port', '0', '--log-level', 'warn',
];

export async function startNodes(): Promise<Nodes> {
  const daemons: Daemon[] = [];
  const agentVms: Vm[] = [];
  const dir = mkdtempSync(join(tmpdir(), 'verbenashunt-capacity-'));
  const track = async (started: Promise<Daemon>) => {
    daemons.push(await started);
    return daemons.at(-1)!;
  };
  const platform = String((await track(startStandIn('platform', ['platform']))).ready);
  const startEntry = (node: string) => track(startDaemon(node, [
    'entry', '--node', node, ...locationFlags, '--platform-url', platform,
    '--bootstrap-operator-hash', sha256(operatorKey),
  ]));
  const entry = await startEntry('entry-1');
  const entryUrl = `http://127.0.0.1:${(entry.ready as { httpPort: number }).httpPort}`;
  return {
    platform,
    entry,
    entryUrl,
    async setVms(vms) {
      const body = JSON.stringify({ vms: [...agentVms, ...vms] });
      const res = await request(`${platform}/vms`, { method: 'PUT', body });
      await res.body.dump();
    },
    async apply(declared, change) {
      writeFileSync(join(dir, 'bench.yaml'), declarationsOf(declared, change));
      const result = await runCommand(['apply', '-f', dir, '--entry', entryUrl, '--key', operatorKey]);
      if (result.code !== 0) throw new ProcessError(`verbenashunt apply failed: ${result.stdout}${result.stderr}`);
    },
    startEntry,
    async startAgent() {
      const engine = await track(startStandIn('engine', ['engine', '--model', 'own', '--lo', '0', '--hi', `${layers}`, '--layers', `${layers}`]));
      const daemon = await track(startDaemon('agent', [
        'agent', '--node', 'agent-1', ...locationFlags, '--platform-url', platform, '--target', 't-1',
        '--fleet', 'bench', '--target-kind', 'engine', '--target-url', String(engine.ready),
        '--max-active', '10000',
      ]));
      const { peerPort } = daemon.ready as { peerPort: number };
      agentVms.push({
        id: 'agent-1', role: 'agent', zone: 'z-a', region: 'r-a', host: '127.0.0.1', port: peerPort, state: 'live',
      });
      return { daemon, peerPort };
    },
    async stop() {
      await Promise.all(daemons.map((daemon) => daemon.stop('SIGKILL')));
      rmSync(dir, { recursive: true });
    },
  };
}
