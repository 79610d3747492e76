/**
 * Seeded soak of planned stops in calm, with processes: callers go on until the process is gone, on
 * kept and new connections, with slow bodies, while targets answer fast or late.
 * By hand: `SOAK_SEEDS=50 npx vitest run test/platform/stops-soak`.
 */
import {
  afterAll, afterEach, beforeAll, beforeEach, expect, test,
} from 'vitest';
import {
  operatorConfig, startStore, startTarget, type StoreStandIn, type TargetStandIn,
} from '@verbenashunt/platform/stand-in';
import { createRandom } from '@verbenashunt/stand-ins';
import { streamHeaders } from '../support/gateway-fixture.js';
import {
  buildGatewayProgram, expectReadiness, type GatewayProcess, type GatewayProgram,
} from '../support/gateway-process.js';
import { openRaw } from '../support/raw-connection.js';
import { repeatUntil, wait } from '../support/timing.js';

const seedCount = Number(process.env.SOAK_SEEDS ?? 2);
const seeds = Array.from({ length: seedCount }, (_, i) => i + 1);
const graceS = 4;
const calmMs = 1500;
const callerCount = 24;
/** Time after a SIGTERM until which a request may be sent that the process cuts off at its end. */
const excusedMs = (3 / 8) * graceS * 1000;
const notRunStatuses = [408, 421, 429, 503];
const answerMsChoices = [0, 0, 100, 800, 2500];
const paths = ['/read/a', '/write/a', '/write/a', '/chat/x', '/once/x'];
const longDeadlineMs = 20_000;
/** One that ends before the process even for requests that come late. */
const shortDeadlineMs = 700;
/** Time from the last byte of a request within which its connection may end without an answer. */
const lossSlackMs = 200;

interface Seen {
  id: string;
  deadlineMs: number;
  /** When its first and its last byte were sent, in milliseconds after the SIGTERM. */
  begunMs: number;
  sentMs: number;
  /** When its answer was complete or its connection had ended, in the same way. */
  endedMs: number;
  /** 0 if there was no answer. */
  status: number;
  isComplete: boolean;
}

const routes = operatorConfig(1).routes.map((route) => ({
  ...route, timeoutMs: 20_000, targetLatencyMs: 10_000, targetGapMs: 2000,
}));

let program: GatewayProgram;
let store: StoreStandIn;
let apps: TargetStandIn[];
let engines: TargetStandIn[];
let gateways: GatewayProcess[] = [];

beforeAll(async () => {
  program = await buildGatewayProgram();
});

afterAll(() => program.remove());

beforeEach(async () => {
  store = await startStore();
  store.put('op', 'config', operatorConfig(1, { routes }));
  apps = await Promise.all(['app-0', 'app-1'].map((id) => startTarget({ id })));
  engines = await Promise.all([
    { id: 'fast', events: 30, eventMs: 20 }, { id: 'slow', events: 40, eventMs: 60 },
  ].map((options) => startTarget({ ...options, kind: 'card' })));
  engines.forEach((engine) => Object.assign(engine, { held: { from: 0, to: 8, version: 1 } }));
  apps.forEach((app) => store.put('servers', app.id, app.row('app')));
  engines.forEach((engine) => store.put('servers', engine.id, engine.row('pool')));
});

afterEach(async () => {
  gateways.forEach(({ child }) => child.kill('SIGKILL'));
  await Promise.all(gateways.map(({ exit }) => exit));
  gateways = [];
  await Promise.all([store, ...apps, ...engines].map(({ close }) => close()));
});

const headOf = (id: string, path: string, deadlineMs: number) => [
  `POST ${path} HTTP/1.1`, 'host: app.example', `request-id: ${id}`,
  `request-deadline-ms: ${deadlineMs}`, 'authorization: Bearer key-1', 'content-length: 4',
  ...Object.entries(streamHeaders).map(([name, value]) => `${name}: ${value}`), '', '',
].join('\r\n');

const pick = <T>(items: readonly T[], random: () => number) => (
  items[Math.floor(items.length * random())]!);

/** Whether an answer has its end. */
function hasEnd(text: string): boolean {
  const headEnd = text.indexOf('\r\n\r\n');
  if (headEnd === -1) return false;
  const length = /\r\ncontent-length: (\d+)/i.exec(text.slice(0, headEnd))?.[1];
  if (length === undefined) return text.endsWith('\r\n0\r\n\r\n');
  return text.length >= headEnd + 4 + Number(length);
}

/** Sends one request after the other on a connection until it ends, or at random no more. */
async function callOn(port: number, name: string, random: () => number, stopAt: number) {
  const connection = openRaw(port);
  const seen: Seen[] = [];
  const path = pick(paths, random);

  async function call(n: number): Promise<void> {
    const id = `${name}-${n}`;
    const deadlineMs = random() < 0.5 ? longDeadlineMs : shortDeadlineMs;
    const start = connection.received.length;
    const received = () => connection.received.slice(start);
    const nowMs = () => performance.now() - stopAt;
    const begunMs = nowMs();
    connection.write(`${headOf(id, path, deadlineMs)}bod`);
    await wait(random() < 0.3 ? 2500 * random() : 0);
    if (connection.isEnded) return;
    connection.write('y');
    const sentMs = nowMs();
    const isOver = () => connection.isEnded || hasEnd(received());
    await expect.poll(isOver, { timeout: longDeadlineMs, interval: 10 }).toBe(true);
    seen.push({
      id,
      deadlineMs,
      begunMs,
      sentMs,
      endedMs: nowMs(),
      status: Number(/^HTTP\/1\.1 (\d+)/.exec(received())?.[1] ?? 0),
      isComplete: hasEnd(received()),
    });
    await wait(80 * random());
    if (!connection.isEnded && random() < 0.8) await call(n + 1);
  }

  await call(0);
  connection.socket.destroy();
  return seen;
}

/** Makes a target answer fast or late, or refuse. */
function changeTarget(random: () => number) {
  const answerMs = pick(answerMsChoices, random);
  Object.assign(pick(apps, random), {
    answerMs, refusalMs: answerMs, behaviour: random() < 0.2 ? 'not-run' : 'answer',
  });
}

/** Whether a request that a target has run was answered, or ended by its own deadline. */
const isServed = ({
  status, isComplete, deadlineMs, begunMs, endedMs,
}: Seen) => (isComplete && status === 200) || endedMs - begunMs >= deadlineMs;

test.each(seeds)('a planned stop breaks no promise and cuts off nothing that came late, seed %i', async (seed) => {
  const random = createRandom(seed);
  const names = seed % 2 === 0 ? ['entry-1'] : ['entry-1', 'entry-2'];
  gateways = await Promise.all(names.map((node) => program.start(store.address, { node, graceS })));
  await Promise.all(gateways.map((gateway) => expectReadiness(gateway).toBe(200)));
  const { child, frontPort, exit } = gateways[0]!;
  const stopAt = performance.now() + calmMs;
  const endsAt = stopAt + graceS * 1000;
  const seen: Seen[] = [];
  let connections = 0;
  const changing = repeatUntil(endsAt, () => 300 * random(), () => changeTarget(random));
  const calling = Array.from({ length: callerCount }, () => (
    repeatUntil(endsAt, () => 100 * random(), async () => {
      connections += 1;
      seen.push(...await callOn(frontPort, `${seed}-${connections}`, random, stopAt));
    })));
  await wait(calmMs);
  child.kill('SIGTERM');
  await wait(500 * random());
  child.kill(random() < 0.5 ? 'SIGTERM' : 'SIGHUP');
  await Promise.all([exit, changing, ...calling]);
  const ranIds = new Set([...apps, ...engines].flatMap(({ ran }) => ran.map(({ id }) => id)));
  const ran = seen.filter(({ id }) => ranIds.has(id));
  const late = ran.filter(({ sentMs }) => sentMs > excusedMs);
  expect(ran.filter(({ status }) => notRunStatuses.includes(status))).toEqual([]);
  expect(late.filter((request) => !isServed(request))).toEqual([]);
  const unanswered = seen.filter(({ id, status }) => status === 0 && !ranIds.has(id));
  expect(unanswered.filter(({ sentMs, endedMs }) => endedMs - sentMs > lossSlackMs)).toEqual([]);
  expect(late.length).toBeGreaterThan(0);
});
