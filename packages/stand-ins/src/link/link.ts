/** Stand-in of a slow link: a TCP relay with a one-way delay and a bandwidth in each direction. */
import {
  connect, createServer, type AddressInfo, type Socket,
} from 'node:net';
import { readBody, sendJson, serve } from '../http/server.js';

/** Bytes under way in one direction after which the sender is held back. */
const maxUnderWayBytes = 1024 * 1024;
const millisecondsPerSecond = 1000;

export interface LinkState {
  /** One-way delay in milliseconds. */
  delayMs: number;
  /** Of each direction, shared by all connections; 0 is without bound. */
  bytesPerSecond: number;
  /** Takes bytes and delivers none; connections stay open. */
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
  /** Takes a partial LinkState at POST /faults. */
  readonly controlUrl: string;
  close(): Promise<void>;
}

/** Deliveries in the order in which they were made due, each no earlier than its time. */
function createDeliveries() {
  const waiting: { dueAt: number; deliver: () => void }[] = [];
  let isArmed = false;

  function arm() {
    if (isArmed || waiting.length === 0) return;
    isArmed = true;
    const waitMs = Math.max(0, Math.ceil(waiting[0]!.dueAt - performance.now()));
    setTimeout(() => {
      isArmed = false;
      waiting.shift()!.deliver();
      arm();
    }, waitMs);
  }

  return (dueAt: number, deliver: () => void) => {
    waiting.push({ dueAt, deliver });
    arm();
  };
}

/** One direction of the link: chunks leave in order, each after the one before it. */
function createLane(state: LinkState) {
  let freeAt = 0;
  return (from: Socket, to: Socket) => {
    const deliverAt = createDeliveries();
    let underWay = 0;
    from.on('data', (chunk: Buffer) => {
      if (state.silent) return;
      const sendMs = state.bytesPerSecond > 0
        ? (chunk.length / state.bytesPerSecond) * millisecondsPerSecond
        : 0;
      freeAt = Math.max(freeAt, performance.now()) + sendMs;
      underWay += chunk.length;
      if (underWay > maxUnderWayBytes) from.pause();
      deliverAt(freeAt + state.delayMs, () => {
        underWay -= chunk.length;
        if (underWay <= maxUnderWayBytes) from.resume();
        if (!to.destroyed) to.write(chunk);
      });
    });
    // The end of a side follows its last bytes.
    from.on('end', () => {
      if (!state.silent) deliverAt(performance.now() + state.delayMs, () => to.end());
    });
  };
}

export async function startLink(options: LinkOptions): Promise<Link> {
  const { delayMs, bytesPerSecond, silent } = options;
  const state: LinkState = { delayMs, bytesPerSecond, silent };
  const up = createLane(state);
  const down = createLane(state);
  const sockets = new Set<Socket>();

  const server = createServer({ allowHalfOpen: true }, (near) => {
    const far = connect({
      port: options.targetPort, host: options.targetHost, allowHalfOpen: true,
    });
    [near, far].forEach((socket) => {
      const other = socket === near ? far : near;
      sockets.add(socket);
      socket.setNoDelay(true);
      socket.on('error', () => other.destroy());
      socket.on('close', () => sockets.delete(socket));
    });
    up(near, far);
    down(far, near);
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
