/** Many connections of clients that do not behave, and measures of the process that serves them. */
import { readdir, readFile } from 'node:fs/promises';
import { connect, type Socket } from 'node:net';
import { wait } from './timing.js';

export interface Crowd {
  /** Number of connections that the server has not closed. */
  readonly open: number;
  /** Whether each connection was closed by the server or has handed over all its bytes. */
  readonly isSent: boolean;
  /** Statuses of the responses, one entry for each connection that got one. */
  readonly statuses: readonly number[];
  close(): void;
}

export interface CrowdOptions {
  port: number;
  connections: number;
  /** Text that each connection sends first; it then stays open. */
  text: string;
  /** Text that it then sends again and again for as long as the connection is open. */
  repeated?: string;
  /** Closes each connection once it has handed over its text. */
  isClosing?: boolean;
}

/** Connections that are opened at a time, fewer than a listener's queue of connections holds. */
const connectionsAtOnce = 100;

/** Writes the bytes again and again, whenever the connection takes more. */
function writeEndlessly(socket: Socket, bytes: Buffer) {
  const write = () => {
    if (!socket.writable) return;
    if (socket.write(bytes)) setImmediate(write);
    else socket.once('drain', write);
  };
  write();
}

/** Opens the connections; resolves when all are established or refused. */
export async function openCrowd({
  port, connections, text, repeated, isClosing = false,
}: CrowdOptions): Promise<Crowd> {
  const sockets = new Set<Socket>();
  const statuses: number[] = [];
  let unsent = connections;
  // One buffer for all, as each connection would copy a string.
  const bytes = Buffer.from(text, 'latin1');
  const repeatedBytes = repeated === undefined ? undefined : Buffer.from(repeated, 'latin1');

  const openOne = () => new Promise<void>((resolve) => {
    const socket = connect({ host: '127.0.0.1', port, noDelay: true });
    let isSent = false;
    const countSent = () => {
      if (!isSent) unsent -= 1;
      isSent = true;
      if (isClosing) socket.destroy();
    };
    sockets.add(socket);
    socket.once('connect', () => {
      socket.write(bytes, countSent);
      if (repeatedBytes) writeEndlessly(socket, repeatedBytes);
      resolve();
    });
    socket.once('data', (data) => {
      const status = /^HTTP\/1\.1 (\d{3})/.exec(data.toString('latin1'))?.[1];
      if (status) statuses.push(Number(status));
    });
    // `close` follows.
    socket.on('error', () => {}).once('close', () => {
      sockets.delete(socket);
      countSent();
      resolve();
    });
  });

  const openSome = async (left: number): Promise<void> => {
    if (left <= 0) return;
    await Promise.all(Array.from({ length: Math.min(left, connectionsAtOnce) }, openOne));
    await openSome(left - connectionsAtOnce);
  };
  await openSome(connections);
  return {
    get open() {
      return sockets.size;
    },
    get isSent() {
      return unsent === 0;
    },
    statuses,
    close: () => sockets.forEach((socket) => socket.destroy()),
  };
}

const pollMs = 100;

/** Resolves when the crowd has sent all it had to, or the process that serves it has ended. */
export async function sent(crowd: Crowd, exit: Promise<unknown>): Promise<void> {
  let hasExited = false;
  exit.then(() => {
    hasExited = true;
  });
  while (!crowd.isSent && !hasExited) await wait(pollMs);
}

const bytesPerKilobyte = 1024;
const bytesPerMegabyte = 1_000_000;

/** Largest resident set size that a process has had, in MB; NaN if it has ended. */
export async function peakMemoryMb(pid: number): Promise<number> {
  const status = await readFile(`/proc/${pid}/status`, 'utf8').catch(() => '');
  const kilobytes = Number(/VmHWM:\s+(\d+) kB/.exec(status)?.[1] ?? NaN);
  return (kilobytes * bytesPerKilobyte) / bytesPerMegabyte;
}

/** Number of open file descriptors of a process. */
export async function openDescriptors(pid: number): Promise<number> {
  return (await readdir(`/proc/${pid}/fd`)).length;
}
