/** Stand-in for a network link: a TCP proxy with a delay and a bandwidth in each direction. */
import {
  connect, createServer, type AddressInfo, type Socket,
} from 'node:net';
import { readBody, sendJson, serve } from '../http/server.js';

/** Undelivered bytes of one connection and direction above which reading pauses. */
const maxInFlightBytes = 1024 * 1024;
const millisecondsPerSecond = 1000;

export interface LinkState {
  /** One-way delay in milliseconds. */
  delayMs: number;
  /** Limit of each direction, shared by all connections; 0 is unlimited. */
  bytesPerSecond: number;
  /** Discards all data and keeps the connections open. */
  silent: boolean;
}

export interface LinkOptions extends LinkState {
  host: string;
  port: number;
  targetHost: string;
  targetPort: number;
}

export interface Link {
  readonly port: number;
  /** URL of the control server; POST /faults takes a partial LinkState. */
  readonly controlUrl: string;
  close(): Promise<void>;
}

/** Runs deliveries in the order in which they were added, none before its due time. */
function createDeliveryQueue() {
  const waiting: { dueAt: number; deliver: () => void }[] = [];
  let isTimerSet = false;

  function scheduleNext() {
    if (isTimerSet || waiting.length === 0) return;
    isTimerSet = true;
    const waitMs = Math.max(0, Math.ceil(waiting[0]!.dueAt - performance.now()));
    setTimeout(() => {
      isTimerSet = false;
      waiting.shift()!.deliver();
      scheduleNext();
    }, waitMs);
  }

  return (dueAt: number, deliver: () => void) => {
    waiting.push({ dueAt, deliver });
    scheduleNext();
  };
}

/** One direction of the link, in which chunks of all connections are transmitted in turn. */
function createDirection(state: LinkState) {
  let busyUntil = 0;
  return (from: Socket, to: Socket) => {
    const scheduleDelivery = createDeliveryQueue();
    let inFlightBytes = 0;
    from.on('data', (chunk: Buffer) => {
      if (state.silent) return;
      const sendMs = state.bytesPerSecond > 0
        ? (chunk.length / state.bytesPerSecond) * millisecondsPerSecond
        : 0;
      busyUntil = Math.max(busyUntil, performance.now()) + sendMs;
      inFlightBytes += chunk.length;
      if (inFlightBytes > maxInFlightBytes) from.pause();
      scheduleDelivery(busyUntil + state.delayMs, () => {
        inFlightBytes -= chunk.length;
        if (inFlightBytes <= maxInFlightBytes) from.resume();
        if (!to.destroyed) to.write(chunk);
      });
    });
    // The FIN is queued behind the data that was read before it.
    from.on('end', () => {
      if (!state.silent) scheduleDelivery(performance.now() + state.delayMs, () => to.end());
    });
  };
}

export async function startLink(options: LinkOptions): Promise<Link> {
  const { delayMs, bytesPerSecond, silent } = options;
  const state: LinkState = { delayMs, bytesPerSecond, silent };
  const forwardToTarget = createDirection(state);
  const forwardToClient = createDirection(state);
  const sockets = new Set<Socket>();

  const server = createServer({ allowHalfOpen: true }, (client) => {
    const target = connect({
      port: options.targetPort, host: options.targetHost, allowHalfOpen: true,
    });
    [client, target].forEach((socket) => {
      const other = socket === client ? target : client;
      sockets.add(socket);
      socket.setNoDelay(true);
      socket.on('error', () => other.destroy());
      socket.on('close', () => sockets.delete(socket));
    });
    forwardToTarget(client, target);
    forwardToClient(target, client);
  });
  await new Promise<void>((resolve, reject) => {
    server.once('error', reject);
    server.listen(options.port, options.host, resolve);
  });
  const control = await serve(options.host, 0, async (req, res) => {
    Object.assign(state, JSON.parse(await readBody(req)));
    sendJson(res, 200, state);
  });
  return {
    port: (server.address() as AddressInfo).port,
    controlUrl: control.url,
    async close() {
      sockets.forEach((socket) => socket.destroy());
      await control.close();
      await new Promise((resolve) => {
        server.close(resolve);
      });
    },
  };
}
