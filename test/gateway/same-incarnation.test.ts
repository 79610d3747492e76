/** Whether a target is taken for the process that a request was sent to. */
import { createServer, type AddressInfo } from 'node:net';
import { afterEach, expect, test } from 'vitest';
import { createTargetTable, type ServingTarget } from '@verbenashunt/core';
import { isSameIncarnation } from '@verbenashunt/gateway';
import { createPlatformPorts } from '@verbenashunt/platform';
import { startTarget, type TargetStandIn } from '@verbenashunt/platform/stand-in';
import { acceptsConnection, createExchanger } from '@verbenashunt/wire';

const cleanups: (() => unknown)[] = [];

afterEach(async () => {
  await Promise.all(cleanups.splice(0).map((cleanup) => cleanup()));
});

async function startEngine(id: string): Promise<TargetStandIn> {
  const engine = await startTarget({ id, kind: 'card' });
  cleanups.push(engine.close);
  return engine;
}

/** Address that accepts connections and never answers. */
async function startMute(): Promise<string> {
  const server = createServer((socket) => socket.on('error', () => {}).resume());
  await new Promise<void>((resolve) => {
    server.listen(0, '127.0.0.1', resolve);
  });
  cleanups.push(() => server.close());
  return `127.0.0.1:${(server.address() as AddressInfo).port}`;
}

const ports = createPlatformPorts('127.0.0.1:9');

const decode = (engine: TargetStandIn) => ports.rows.decodeTarget({
  key: engine.id, value: Buffer.from(JSON.stringify(engine.row('pool'))), version: 1,
})!;

/** `listed` is what the list of targets says now. */
function check(asked: ServingTarget, listed: ServingTarget | undefined, isEngine = true) {
  const exchanger = createExchanger({ connectTimeoutMs: 300, keepAliveMs: 1000 });
  cleanups.push(exchanger.close);
  const targets = createTargetTable();
  if (listed) targets.apply({ id: listed.id, target: listed });
  return isSameIncarnation(asked, isEngine, {
    exchanger: { to: () => exchanger },
    protocol: ports.targets,
    targets,
    isReachable: ({ address }) => acceptsConnection(address, 100),
  });
}

test('a target that reports the same start is the same, listed or not', async () => {
  const asked = decode(await startEngine('engine'));
  expect(await check(asked, asked)).toBe(true);
  expect(await check(asked, undefined)).toBe(true);
});

test('a target that restarted under its id and address is not the same, whatever the list says', async () => {
  const engine = await startEngine('engine');
  const asked = decode(engine);
  engine.born += 1;
  expect(await check(asked, asked)).toBe(false);
  expect(await check(asked, decode(engine))).toBe(false);
});

test('another target at the address is not the same', async () => {
  const asked = decode(await startEngine('engine'));
  const other = await startEngine('other');
  expect(await check({ ...asked, address: other.address }, asked)).toBe(false);
});

test('a target that accepts no connection is not the same', async () => {
  const engine = await startEngine('engine');
  const asked = decode(engine);
  await engine.close();
  expect(await check(asked, asked)).toBe(false);
  expect(await check(asked, asked, false)).toBe(false);
});

test('a target that gives no report is the same while it is listed and accepts connections', async () => {
  const asked = { ...decode(await startEngine('engine')), address: await startMute() };
  expect(await check(asked, asked)).toBe(true);
  expect(await check(asked, { ...asked, startedAt: 2 })).toBe(false);
  expect(await check(asked, undefined)).toBe(false);
});

test('a target without reports is the same while it is listed and accepts connections', async () => {
  const asked = decode(await startEngine('app'));
  expect(await check(asked, asked, false)).toBe(true);
  expect(await check(asked, { ...asked, startedAt: 2 }, false)).toBe(false);
  expect(await check(asked, undefined, false)).toBe(false);
});
