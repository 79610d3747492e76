/** State of an engine, as the agent reports it, when connections to the engine break. */
import { createServer, type IncomingMessage, type ServerResponse } from 'node:http';
import type { AddressInfo } from 'node:net';
import { afterEach, expect, test } from 'vitest';
import { createEngineTarget, type EngineTarget } from '@verbenashunt/agent';
import { SystemClock } from '@verbenashunt/core';

const status = {
  loaded: [],
  accelerator: {
    kind: 'a', layerMsPerToken: 1, layerMsPerPrefillToken: 0, memoryLayers: 64,
  },
  active: 0,
  queued: 0,
  fencing: 0,
};

let close = async () => {};
afterEach(() => close());

/** Starts an engine that resets the connections of some status polls, counted from 1. */
async function startEngine(isReset: (poll: number) => boolean) {
  const events: string[] = [];
  let polls = 0;

  function handle(req: IncomingMessage, res: ServerResponse) {
    if (req.url!.startsWith('/stream')) {
      res.writeHead(200).flushHeaders();
      return;
    }
    polls += 1;
    if (isReset(polls)) req.socket.resetAndDestroy();
    else res.end(JSON.stringify(status));
  }

  const server = createServer(handle);
  await new Promise<void>((resolve) => {
    server.listen(0, '127.0.0.1', resolve);
  });
  const record = (what: string) => () => events.push(what);
  const target: EngineTarget = createEngineTarget(
    `http://127.0.0.1:${(server.address() as AddressInfo).port}`,
    new SystemClock(),
    {
      onOutput: record('output'), onUp: record('up'), onStatus: record('status'), onDown: record('down'),
    },
  );
  close = async () => {
    await target.close();
    server.closeAllConnections();
    server.close();
  };
  return { events, server };
}

test('an engine stays up if the connection of one poll breaks', async () => {
  const { events } = await startEngine((poll) => poll === 2);
  await expect.poll(() => events.length, { timeout: 5000 }).toBeGreaterThanOrEqual(3);
  expect(events.slice(0, 3)).toEqual(['up', 'status', 'status']);
});

test('an engine is down after the connections of two consecutive polls broke', async () => {
  const { events } = await startEngine((poll) => poll === 2 || poll === 3);
  await expect.poll(() => events.length, { timeout: 5000 }).toBeGreaterThanOrEqual(3);
  expect(events.slice(0, 3)).toEqual(['up', 'down', 'up']);
});

test('an engine is down after its server closed', async () => {
  const { events, server } = await startEngine(() => false);
  await expect.poll(() => events.length, { timeout: 5000 }).toBeGreaterThanOrEqual(1);
  server.closeAllConnections();
  server.close();
  await expect.poll(() => events.at(-1), { timeout: 5000 }).toBe('down');
});
