/** TCP relay that simulates network faults: resets connections, drops data or delays it. */
import {
  connect, createServer, type AddressInfo, type Socket,
} from 'node:net';
import { createFrameDecoder } from '@verbenashunt/wire';

/** `up` is from the process that dials the relay to the target; `down` is the way back. */
export type Direction = 'up' | 'down' | 'both';

export interface DropOptions {
  direction?: Direction;
  /** Also applies to connections that are opened later, until `heal()`. */
  includeNew?: boolean;
  /** Limits the fault to connections whose dialling peer sent this role in its `hello`. */
  role?: 'entry' | 'agent';
}

export interface Relay {
  readonly port: number;
  /** Connections that are open now. */
  readonly openCount: number;
  /** Connections accepted since the relay started. */
  readonly acceptedCount: number;
  /** Discards data without closing the connections, as a network partition does. */
  dropData(options?: DropOptions): void;
  /** Holds data back, on new connections too, as if the process behind the relay were frozen. */
  pause(): void;
  /** Passes on what `pause` has held back. */
  resume(): void;
  /** Closes all open connections with a TCP reset. */
  resetConnections(): void;
  /** Delays data by this time in each direction. */
  setDelay(ms: number): void;
  /** Ends the delay and relays new connections without faults; dropped ones stay dropped. */
  heal(): void;
  /** Relays new connections to another port. */
  retarget(port: number): void;
  close(): Promise<void>;
}

interface RelayedConnection {
  role: string | undefined;
  dropsUp: boolean;
  dropsDown: boolean;
  dialer: Socket;
  target: Socket;
}

export async function createRelay(targetPort: number, host = '127.0.0.1'): Promise<Relay> {
  const connections = new Set<RelayedConnection>();
  let currentTargetPort = targetPort;
  let newConnectionDrop: DropOptions | undefined;
  let delayMs = 0;
  let acceptedCount = 0;
  let isPaused = false;

  function applyDrop(connection: RelayedConnection, { direction = 'both', role }: DropOptions) {
    if (role && connection.role !== role) return;
    Object.assign(connection, {
      dropsUp: connection.dropsUp || direction !== 'down',
      dropsDown: connection.dropsDown || direction !== 'up',
    });
  }

  function detectRole(connection: RelayedConnection, chunk: Buffer) {
    if (connection.role) return;
    try {
      createFrameDecoder().push(chunk, (message) => {
        if (message.t === 'hello') Object.assign(connection, { role: message.role });
      });
    } catch {
      Object.assign(connection, { role: 'unknown' });
    }
    if (newConnectionDrop) applyDrop(connection, newConnectionDrop);
  }

  function forward(chunk: Buffer, to: Socket, isDropping: () => boolean) {
    const write = () => {
      if (!isDropping() && !to.destroyed) to.write(chunk);
    };
    if (delayMs > 0) setTimeout(write, delayMs);
    else write();
  }

  function relayConnection(dialer: Socket) {
    acceptedCount += 1;
    const target = connect(currentTargetPort, host);
    const connection: RelayedConnection = {
      role: undefined, dropsUp: false, dropsDown: false, dialer, target,
    };
    connections.add(connection);
    if (newConnectionDrop && !newConnectionDrop.role) applyDrop(connection, newConnectionDrop);
    dialer.on('data', (chunk: Buffer) => {
      detectRole(connection, chunk);
      forward(chunk, target, () => connection.dropsUp);
    });
    target.on('data', (chunk: Buffer) => forward(chunk, dialer, () => connection.dropsDown));
    if (isPaused) {
      dialer.pause();
      target.pause();
    }
    const closeWith = (other: Socket) => () => {
      connections.delete(connection);
      other.destroy();
    };
    dialer.on('error', () => {}).on('close', closeWith(target));
    target.on('error', () => {}).on('close', closeWith(dialer));
  }

  const server = createServer(relayConnection);
  await new Promise<void>((resolve) => {
    server.listen(0, host, resolve);
  });
  return {
    port: (server.address() as AddressInfo).port,
    get openCount() {
      return connections.size;
    },
    get acceptedCount() {
      return acceptedCount;
    },
    dropData(options = {}) {
      connections.forEach((connection) => applyDrop(connection, options));
      if (options.includeNew) newConnectionDrop = options;
    },
    pause() {
      isPaused = true;
      connections.forEach(({ dialer, target }) => [dialer, target].forEach((end) => end.pause()));
    },
    resume() {
      isPaused = false;
      connections.forEach(({ dialer, target }) => [dialer, target].forEach((end) => end.resume()));
    },
    resetConnections() {
      connections.forEach(({ dialer, target }) => {
        dialer.resetAndDestroy();
        target.resetAndDestroy();
      });
    },
    setDelay(ms) {
      delayMs = ms;
    },
    heal() {
      newConnectionDrop = undefined;
      delayMs = 0;
    },
    retarget(port) {
      currentTargetPort = port;
    },
    close() {
      connections.forEach(({ dialer, target }) => {
        dialer.destroy();
        target.destroy();
      });
      return new Promise((resolve) => {
        server.close(() => resolve());
      });
    },
  };
}
