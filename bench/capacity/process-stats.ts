/** What the kernel says of a process: processor time, memory, bytes read and written. */
import { readdirSync, readFileSync } from 'node:fs';

export interface ProcessStats {
  /** Processor time of all threads in milliseconds. */
  cpuMs: number;
  rssBytes: number;
  /** Payload bytes of all reads and writes, sockets included. */
  readBytes: number;
  writtenBytes: number;
  atMs: number;
}

const nanosecondsPerMs = 1e6;
const bytesPerKilobyte = 1024;
const numberAfter = (text: string, name: string) => Number(new RegExp(`${name}:\\s+(\\d+)`).exec(text)?.[1] ?? 0);

function cpuMsOf(pid: number): number {
  const tasks = readdirSync(`/proc/${pid}/task`);
  return tasks.reduce((total, task) => {
    const [ran = '0'] = readFileSync(`/proc/${pid}/task/${task}/schedstat`, 'utf8').split(' ');
    return total + Number(ran) / nanosecondsPerMs;
  }, 0);
}

export function statsOf(pid: number): ProcessStats {
  const status = readFileSync(`/proc/${pid}/status`, 'utf8');
  const io = readFileSync(`/proc/${pid}/io`, 'utf8');
  return {
    cpuMs: cpuMsOf(pid),
    rssBytes: numberAfter(status, 'VmRSS') * bytesPerKilobyte,
    readBytes: numberAfter(io, 'rchar'),
    writtenBytes: numberAfter(io, 'wchar'),
    atMs: performance.now(),
  };
}

export interface Rates {
  /** Processor time per second of time, in milliseconds. */
  cpuMsPerSecond: number;
  /** Read and written together. */
  bytesPerSecond: number;
  rssBytes: number;
}

export const sleep = (ms: number) => new Promise<void>((resolve) => {
  setTimeout(resolve, ms);
});

/** Rates of a process over a window. */
export async function measure(pid: number, windowMs: number): Promise<Rates> {
  const before = statsOf(pid);
  await sleep(windowMs);
  const after = statsOf(pid);
  const seconds = (after.atMs - before.atMs) / 1000;
  const bytes = after.readBytes + after.writtenBytes - before.readBytes - before.writtenBytes;
  return {
    cpuMsPerSecond: (after.cpuMs - before.cpuMs) / seconds,
    bytesPerSecond: bytes / seconds,
    rssBytes: after.rssBytes,
  };
}

/** Processor time and bytes that some work costs a process. */
export async function costOf(pid: number, work: () => Promise<unknown>) {
  const before = statsOf(pid);
  await work();
  const after = statsOf(pid);
  return {
    cpuMs: after.cpuMs - before.cpuMs,
    bytes: after.readBytes + after.writtenBytes - before.readBytes - before.writtenBytes,
    rssBytes: after.rssBytes,
  };
}
