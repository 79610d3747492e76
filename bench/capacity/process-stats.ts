/** Resource use of a process from /proc: CPU time, memory, bytes read and written. */
import { readdirSync, readFileSync } from 'node:fs';

export interface ProcessStats {
  /** CPU time of all threads. */
  cpuMs: number;
  rssBytes: number;
  /** Bytes passed to read calls on files and sockets. */
  readBytes: number;
  /** Bytes passed to write calls on files and sockets. */
  writtenBytes: number;
  atMs: number;
}

const nanosecondsPerMs = 1e6;
const bytesPerKilobyte = 1024;
const fieldOf = (text: string, name: string) => Number(new RegExp(`${name}:\\s+(\\d+)`).exec(text)?.[1] ?? 0);

function cpuMsOf(pid: number): number {
  const tasks = readdirSync(`/proc/${pid}/task`);
  return tasks.reduce((total, task) => {
    const [cpuNanoseconds = '0'] = readFileSync(`/proc/${pid}/task/${task}/schedstat`, 'utf8').split(' ');
    return total + Number(cpuNanoseconds) / nanosecondsPerMs;
  }, 0);
}

export function readStats(pid: number): ProcessStats {
  const status = readFileSync(`/proc/${pid}/status`, 'utf8');
  const io = readFileSync(`/proc/${pid}/io`, 'utf8');
  return {
    cpuMs: cpuMsOf(pid),
    rssBytes: fieldOf(status, 'VmRSS') * bytesPerKilobyte,
    readBytes: fieldOf(io, 'rchar'),
    writtenBytes: fieldOf(io, 'wchar'),
    atMs: performance.now(),
  };
}

export interface Rates {
  /** Milliseconds of CPU time per second. */
  cpuMsPerSecond: number;
  /** Sum of bytes read and written. */
  bytesPerSecond: number;
  rssBytes: number;
}

export const sleep = (ms: number) => new Promise<void>((resolve) => {
  setTimeout(resolve, ms);
});

/** Measures the average rates of a process over a time window. */
export async function measureRates(pid: number, windowMs: number): Promise<Rates> {
  const before = readStats(pid);
  await sleep(windowMs);
  const after = readStats(pid);
  const seconds = (after.atMs - before.atMs) / 1000;
  const bytes = after.readBytes + after.writtenBytes - before.readBytes - before.writtenBytes;
  return {
    cpuMsPerSecond: (after.cpuMs - before.cpuMs) / seconds,
    bytesPerSecond: bytes / seconds,
    rssBytes: after.rssBytes,
  };
}

/** Measures the CPU time and bytes that a process uses while `work` runs. */
export async function measureCost(pid: number, work: () => Promise<unknown>) {
  const before = readStats(pid);
  await work();
  const after = readStats(pid);
  return {
    cpuMs: after.cpuMs - before.cpuMs,
    bytes: after.readBytes + after.writtenBytes - before.readBytes - before.writtenBytes,
    rssBytes: after.rssBytes,
  };
}
