/** Parts of prompts that crash the targets that answer on them, with several gateways. */
import { afterEach, expect, test } from 'vitest';
import type { Gateway } from '@verbenashunt/gateway';
import { startTarget, type TargetStandIn } from '@verbenashunt/platform/stand-in';
import {
  callGateway, startGateway, startGatewayFixture, streamHeaders, type CallerAnswer,
  type GatewayFixture,
} from '../support/gateway-fixture.js';
import { wait } from '../support/timing.js';

/** Time in milliseconds, a bound of the settings, within which all entries know of a crash. */
const contactMs = 3000;
/** Most requests with a crashing part that reach targets after that, once it has crashed five. */
const maxFurtherArrivals = 3;
/** Time in milliseconds after which a crashed target is back as a new one. */
const restartMs = 600;
const crashingPart = 'bad0';
const layers = { from: 0, to: 8, version: 1 };

let fixture: GatewayFixture;
let isOver = false;
const gateways: Gateway[] = [];
const targets: TargetStandIn[] = [];

afterEach(async () => {
  isOver = true;
  await Promise.all(gateways.splice(0).map((gateway) => gateway.stop(AbortSignal.abort())));
  await fixture.close();
  await Promise.all(targets.splice(0).map((target) => target.close()));
});

/** Starts a target that crashes at the part; each time it does, a new one takes its place. */
async function startCrashingTarget(name: string, start = 0) {
  const target = await startTarget({ id: `${name}.${start}`, kind: 'card', eventMs: 10 });
  const { close } = target;
  targets.push(target);
  Object.assign(target, {
    crashingPart,
    held: layers,
    async close() {
      Object.assign(target, { close });
      close();
      await wait(restartMs);
      if (isOver) return;
      fixture.store.remove('servers', target.id);
      await startCrashingTarget(name, start + 1);
    },
  });
  fixture.store.put('servers', target.id, target.row('pool'));
}

/** Calls `send` at an interval until `ms` have passed; resolves to all results. */
async function sendEvery<T>(intervalMs: number, ms: number, send: (i: number) => Promise<T>) {
  const results: Promise<T>[] = [];
  const until = performance.now() + ms;
  for (let i = 0; performance.now() < until; i += 1) {
    results.push(send(i));
    await wait(intervalMs);
  }
  return Promise.all(results);
}

/** Starts three gateways, also reachable for each other, and targets that crash at the part. */
async function startFleet(targetCount: number) {
  isOver = false;
  const relay = { host: '127.0.0.1', port: 0 };
  fixture = await startGatewayFixture({ gateway: { relay } });
  gateways.push(...await Promise.all(['entry-2', 'entry-3']
    .map((node) => startGateway(fixture.store, node, { relay }))));
  await Promise.all(Array.from(
    { length: targetCount },
    (_, i) => startCrashingTarget(`engine-${i}`),
  ));
  // By then each gateway has read the rows of the others.
  await wait(1500);
}

/** Sends a stream to one of the gateways in turn. */
function stream(kind: string, i: number, part: string) {
  const ports = [fixture.gateway, ...gateways].map((gateway) => gateway.ports.front);
  return callGateway(ports[i % ports.length]!, {
    method: 'POST',
    path: `/chat/${kind}/${i}`,
    body: `${kind} ${i}`,
    headers: {
      ...streamHeaders,
      'prompt-prefix': `5a00:40,${part}:100,${kind}${i}:200`,
      'request-deadline-ms': '4000',
    },
  });
}

const isServed = ({ status, isComplete }: CallerAnswer) => status === 200 && isComplete;

const arrivalsWithPart = () => targets.flatMap(({ ran }) => ran)
  .filter(({ headers }) => String(headers['prompt-prefix']).includes(crashingPart)).length;

test('requests that share a crashing part of their prompts stop reaching targets', async () => {
  await startFleet(8);
  const sentMs = 3 * contactMs;
  /** The first crashes come at once, so that the bound holds in the last third of the time. */
  async function countArrivalsAfterBound() {
    await wait(2 * contactMs);
    const before = arrivalsWithPart();
    await wait(contactMs);
    return arrivalsWithPart() - before;
  }
  const [, sound, further] = await Promise.all([
    sendEvery(150, sentMs, (i) => stream('bad', i, crashingPart)),
    sendEvery(100, sentMs, (i) => stream('sound', i, `50${i % 4}`)),
    countArrivalsAfterBound(),
  ]);
  expect(further).toBeLessThanOrEqual(maxFurtherArrivals);
  const last = sound.slice(-Math.floor(sound.length / 3));
  expect(last.filter(isServed)).toHaveLength(last.length);
});

test('gateways learn of a crashing part from each other while the store is away', async () => {
  await startFleet(8);
  fixture.store.fault = 'silent';
  await sendEvery(300, contactMs, (i) => stream('bad', i, crashingPart));
  const sound = await sendEvery(100, 1000, (i) => stream('sound', i, '501'));
  // Gateways that learn by themselves alone would each crash three targets.
  expect(arrivalsWithPart()).toBeLessThan(6);
  expect(sound.filter(isServed)).toHaveLength(sound.length);
});

test('a gateway that has just started sends no request with a known crashing part', async () => {
  await startFleet(2);
  const crashes = [3000, 2000, 1000].map((ageMs) => {
    const at = performance.now() - ageMs;
    return {
      target: `gone-${ageMs}`,
      fingerprints: [],
      at,
      unbegun: [{ parts: ['5a00', crashingPart], sentAt: at - 100 }],
    };
  });
  fixture.store.put('verbenashunt-crashes', 'entry-9', { crashes, acquittals: [] });
  const started = await startGateway(fixture.store, 'entry-4');
  gateways.splice(0, 0, started);
  const [answer] = await sendEvery(20, 1500, (i) => stream('bad', 3 * i + 1, crashingPart));
  expect(answer!.status).toBe(503);
  expect(arrivalsWithPart()).toBe(0);
});
