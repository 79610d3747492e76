/** A TCP relay for tests: cuts, swallows or delays what passes between two processes. */
import {
  connect, createServer, type AddressInfo, type Socket,
} from 'node:net';
import { createFrameDecoder } from '@verbenashunt/wire';

/** `up` runs from the side that dialled to the target. */
export type Direction = 'up' | 'down' | 'both';

export interface SwallowOptions {
  direction?: Direction;
  /** Also swallow on connections made from now on. */
  later?: boolean;
  /** Only connections whose dialling side said this role in its hello. */
  role?: 'entry' | 'agent';
}

export interface Relay {
  readonly port: number;
  /** Connections relayed now. */
  readonly open: number;
  /** Connections accepted since the start. */
  readonly accepted: number;
  /** Drops data without a reset; the connections look healthy to both ends. */
  swallow(options?: SwallowOptions): void;
  /** Resets the connections that are open. */
  cut(): void;
  /** Holds data back for this long, in each direction. */
  delay(ms: number): void;
  /** New connections are relayed whole again; swallowed ones stay silent. */
  heal(): void;
  /** Points new connections to another port. */
  retarget(port: number): void;
  close(): Promise<void>;
}

interface Pair {
  role: string | undefined;
  up: boolean;
  down: boolean;
  near: Socket;
  far: Socket;
}

export async function createRelay(targetPort: number, host = '127.0.0.1'): Promise<Relay> {
  const pairs = new Set<Pair>();
  let target = targetPort;
  let later: SwallowOptions | undefined;
  let delayMs = 0;
  let accepted = 0;

  function mute(pair: Pair, { direction = 'both', role }: SwallowOptions) {
    if (role && pair.role !== role) return;
    Object.assign(pair, {
      up: pair.up || direction !== 'down', down: pair.down || direction !== 'up',
    });
  }

  function sniff(pair: Pair, chunk: Buffer) {
    if (pair.role) return;
    try {
      createFrameDecoder().push(chunk, (message) => {
        if (message.t === 'hello') Object.assign(pair, { role: message.role });
      });
    } catch {
      Object.assign(pair, { role: 'unknown' });
    }
    if (later) mute(pair, later);
  }

  function pass(chunk: Buffer, to: Socket, muted: () => boolean) {
    const write = () => {
      if (!muted() && !to.destroyed) to.write(chunk);
    };
    if (delayMs > 0) setTimeout(write, delayMs);
    else write();
  }

  function join(near: Socket) {
    accepted += 1;
    const far = connect(target, host);
    const pair: Pair = {
      role: undefined, up: false, down: false, near, far,
    };
    pairs.add(pair);
    if (later && !later.role) mute(pair, later);
    near.on('data', (chunk: Buffer) => {
      sniff(pair, chunk);
      pass(chunk, far, () => pair.up);
    });
    far.on('data', (chunk: Buffer) => pass(chunk, near, () => pair.down));
    const end = (other: Socket) => () => {
      pairs.delete(pair);
      other.destroy();
    };
    near.on('error', () => {}).on('close', end(far));
    far.on('error', () => {}).on('close', end(near));
  }

  const server = createServer(join);
  await new Promise<void>((resolve) => {
    server.listen(0, host, resolve);
  });
  return {
    port: (server.address() as AddressInfo).port,
    get open() {
      return pairs.size;
    },
    get accepted() {
      return accepted;
    },
    swallow(options = {}) {
      pairs.forEach((pair) => mute(pair, options));
      if (options.later) later = options;
    },
    cut() {
      pairs.forEach(({ near, far }) => {
        near.resetAndDestroy();
        far.resetAndDestroy();
      });
    },
    delay(ms) {
      delayMs = ms;
    },
    heal() {
      later = undefined;
      delayMs = 0;
    },
    retarget(port) {
      target = port;
    },
    close() {
      pairs.forEach(({ near, far }) => {
        near.destroy();
        far.destroy();
      });
      return new Promise((resolve) => {
        server.close(() => resolve());
      });
    },
  };
}
