/** Starts the processes of a whole path for the demo, tests and benches: a development tool. */
import { spawn, type ChildProcess } from 'node:child_process';
import { createInterface } from 'node:readline';
import { fileURLToPath } from 'node:url';
import { BaseError } from '@verbenashunt/core';

export const ProcessError = BaseError.subclass('ProcessError', { props: { code: 'process_failed' } });

const standInBin = fileURLToPath(new URL('../../dist/bin.js', import.meta.url));
const productBin = fileURLToPath(new URL('../../../cli/dist/bin.js', import.meta.url));

export interface Daemon {
  name: string;
  process: ChildProcess;
  /** The first line that it printed. */
  ready: unknown;
  /** Everything written to standard error. */
  log(): string;
  /** Sends a signal and waits for the end; returns the exit code. */
  stop(signal?: NodeJS.Signals): Promise<number | null>;
}

function start(name: string, bin: string, args: string[], env: NodeJS.ProcessEnv): Promise<Daemon> {
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
    exited.then((code) => reject(new ProcessError(`${name} ended with ${code}: ${log}`)));
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

/** Starts a stand-in; `ready` is its address. */
export const startStandIn = (name: string, args: string[]) => start(name, standInBin, args, {});

/** Starts a daemon of the product; `ready` holds its ports. */
export const startDaemon = (name: string, args: string[], env: NodeJS.ProcessEnv = {}) => start(
  name,
  productBin,
  args,
  env,
);

/** Runs a command of the product to its end. */
export function runCommand(args: string[], env: NodeJS.ProcessEnv = {}) {
  const child = spawn(process.execPath, [productBin, ...args], {
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
