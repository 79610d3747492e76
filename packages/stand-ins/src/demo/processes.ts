/** Starts daemons, stand-ins and commands as child processes for the demo, tests and benches. */
import { spawn, type ChildProcess } from 'node:child_process';
import { createInterface } from 'node:readline';
import { fileURLToPath } from 'node:url';
import { BaseError } from '@verbenashunt/core';

export const ProcessError = BaseError.subclass('ProcessError', { props: { code: 'process_failed' } });

const standInBin = fileURLToPath(new URL('../../dist/bin.js', import.meta.url));
const cliBin = fileURLToPath(new URL('../../../cli/dist/bin.js', import.meta.url));

export interface Daemon {
  name: string;
  process: ChildProcess;
  /** The `ready` field of the JSON line that the process prints first. */
  ready: unknown;
  /** Returns all output to standard error. */
  log(): string;
  /** Sends a signal and waits for the process to exit; returns the exit code. */
  stop(signal?: NodeJS.Signals): Promise<number | null>;
}

function startProcess(
  name: string,
  bin: string,
  args: string[],
  env: NodeJS.ProcessEnv,
): Promise<Daemon> {
  const child = spawn(process.execPath, [bin, ...args], {
    stdio: ['ignore', 'pipe', 'pipe'], env: { ...process.env, ...env },
  });
  let log = '';
  child.stderr.on('data', (chunk: Buffer) => {
    log += chunk.toString();
  });
  const exited = new Promise<number | null>((resolve) => {
    child.once('exit', resolve);
  });
  return new Promise((resolve, reject) => {
    exited.then((code) => reject(new ProcessError(`${name} exited with code ${code}: ${log}`)));
    createInterface({ input: child.stdout }).once('line', (line) => resolve({
      name,
      process: child,
      ready: (JSON.parse(line) as { ready: unknown }).ready,
      log: () => log,
      stop(signal = 'SIGTERM') {
        child.kill(signal);
        return exited;
      },
    }));
  });
}

/** Starts a stand-in; `ready` is its URL, or an object for a link. */
export const startStandIn = (name: string, args: string[]) => startProcess(
  name,
  standInBin,
  args,
  {},
);

/** Starts an entry or an agent; `ready` holds its ports. */
export const startDaemon = (
  name: string,
  args: string[],
  env: NodeJS.ProcessEnv = {},
) => startProcess(
  name,
  cliBin,
  args,
  env,
);

/** Runs a command of the CLI and waits for it to exit. */
export function runCommand(args: string[], env: NodeJS.ProcessEnv = {}) {
  const child = spawn(process.execPath, [cliBin, ...args], {
    stdio: ['ignore', 'pipe', 'pipe'], env: { ...process.env, ...env },
  });
  let stdout = '';
  let stderr = '';
  child.stdout.on('data', (chunk: Buffer) => {
    stdout += chunk.toString();
  });
  child.stderr.on('data', (chunk: Buffer) => {
    stderr += chunk.toString();
  });
  return new Promise<{ code: number | null; stdout: string; stderr: string }>((resolve) => {
    child.once('close', (code) => resolve({ code, stdout, stderr }));
  });
}
