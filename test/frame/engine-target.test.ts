/** What an agent makes of an engine whose connections break. */
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

/** An engine that resets the connections of some status polls, counted from 1. */
async function begin(isReset: (poll: number) => boolean) {
  const seen: string[] = [];
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
  const note = (what: string) => () => seen.push(what);
  const target: EngineTarget = createEngineTarget(
    `http://127.0.0.1:${(server.address() as AddressInfo).port}`,
    new SystemClock(),
    {
      onOutput: note('output'), onUp: note('up'), onStatus: note('status'), onDown: note('down'),
    },
  );
  close = async () => {
    await target.close();
    server.closeAllConnections();
    server.close();
  };
  return { seen, server };
}

test('a poll whose connection breaks does not end the sequences of an engine', async () => {
  const { seen } = await begin((poll) => poll === 2);
  await expect.poll(() => seen.length, { timeout: 5000 }).toBeGreaterThanOrEqual(3);
  expect(seen.slice(0, 3)).toEqual(['up', 'status', 'status']);
});

test('polls that break one after the other do', async () => {
  const { seen } = await begin((poll) => poll === 2 || poll === 3);
  await expect.poll(() => seen.length, { timeout: 5000 }).toBeGreaterThanOrEqual(3);
  expect(seen.slice(0, 3)).toEqual(['up', 'down', 'up']);
});

test('an engine that is gone is down', async () => {
  const { seen, server } = await begin(() => false);
  await expect.poll(() => seen.length, { timeout: 5000 }).toBeGreaterThanOrEqual(1);
  server.closeAllConnections();
  server.close();
  await expect.poll(() => seen.at(-1), { timeout: 5000 }).toBe('down');
});
