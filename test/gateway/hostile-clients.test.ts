/**
 * The gateway as a process under clients that do not behave: it lives, stays within the memory and
 * the descriptors of its VM, and an ordinary request is answered while they stay and after them.
 * Timeouts are so long that only the bounds of the gateway itself can end such a connection.
 */
import {
  afterAll, afterEach, beforeAll, expect, test, vi,
} from 'vitest';
import {
  operatorConfig, startStore, startTarget, type StoreStandIn, type TargetStandIn,
} from '@verbenashunt/platform/stand-in';
import {
  openCrowd, openDescriptors, peakMemoryMb, sent, type Crowd, type CrowdOptions,
} from '../support/crowd.js';
import { callGateway } from '../support/gateway-fixture.js';
import {
  buildGatewayProgram, deployedNodeArgs, expectReadiness, type GatewayProcess, type GatewayProgram,
} from '../support/gateway-process.js';
import { chunkOf, requestHead, shortLines } from '../support/hostile-requests.js';

/** Time limit in milliseconds of waits, which no check depends on. */
const patienceMs = 90_000;
/** Limits of an entry's VM. */
const memoryMb = 350;
const maxDescriptors = 4100;

const maxBodyBytes = 64 * 1024;
const limits = {
  maxHeaderBytes: 16_384, maxBodyBytes, headerTimeoutMs: 600_000, idleTimeoutMs: 600_000,
};
const { routes: [route], services: [service] } = operatorConfig(1);
const routes = [
  { ...route, name: 'crowd', prefix: '/crowd/' },
  {
    ...route, name: 'ordinary', prefix: '/ordinary/', service: 'ordinary',
  },
].map((fields) => ({
  ...fields, routeType: 'non_idempotent', maxAttempts: 1, timeoutMs: 600_000,
}));
const services = [service, { ...service, name: 'ordinary' }];

let program: GatewayProgram;
let store: StoreStandIn;
let target: TargetStandIn;
let gateway: GatewayProcess;
/** Serves the ordinary requests, which the crowds leave alone. */
let ordinaryTarget: TargetStandIn;

vi.setConfig({ testTimeout: 3 * patienceMs });

beforeAll(async () => {
  program = await buildGatewayProgram();
  store = await startStore();
  target = await startTarget({ id: 'crowd' });
  ordinaryTarget = await startTarget({ id: 'ordinary' });
  store.put('op', 'config', operatorConfig(1, { limits, routes, services }));
  store.put('servers', 'crowd', target.row('app'));
  store.put('servers', 'ordinary', ordinaryTarget.row('ordinary'));
});

afterAll(async () => {
  await Promise.all([store, target, ordinaryTarget].map((standIn) => standIn.close()));
  await program.remove();
});

async function startGateway() {
  gateway = await program.start(store.address, {
    memoryMb,
    maxDescriptors,
    hasInternalPorts: true,
    graceS: 10,
    nodeArgs: await deployedNodeArgs(),
  });
  await expectReadiness(gateway).toBe(200);
}

afterEach(async () => {
  target.behaviour = 'answer';
  gateway.child.kill('SIGKILL');
  await gateway.exit;
});

/** Checks that an ordinary request is answered, repeated as a caller would after a refusal. */
const expectAnswer = () => expect.poll(async () => {
  const { status } = await callGateway(gateway.frontPort, {
    method: 'POST', path: '/ordinary/a', body: 'body', headers: { 'request-deadline-ms': '20000' },
  });
  return status;
}, { timeout: patienceMs }).toBe(200);

async function expectWithinLimits() {
  const { pid, exitCode, signalCode } = gateway.child;
  expect({ exitCode, signalCode }).toEqual({ exitCode: null, signalCode: null });
  expect(await peakMemoryMb(pid!)).toBeLessThan(memoryMb);
  expect(await openDescriptors(pid!)).toBeLessThan(maxDescriptors);
}

/** Checks the process while the crowd stays, and once more after it has left. */
async function expectToBear(crowd: Crowd) {
  await expectWithinLimits();
  await expectAnswer();
  crowd.close();
  await expectAnswer();
  await expectWithinLimits();
}

async function expectToBearCrowd(options: Omit<CrowdOptions, 'port'> & { port?: number }) {
  const crowd = await openCrowd({ port: gateway.frontPort, ...options });
  try {
    await sent(crowd, gateway.exit);
    await expectToBear(crowd);
  } finally {
    crowd.close();
  }
}

const chunkedHead = requestHead('/crowd/a', ['transfer-encoding: chunked']);
const unendedHead = 'GET /crowd/a HTTP/1.1\r\nhost: app.example\r\n';

test.each([
  ['bodies of one-byte chunks', 60, chunkedHead + chunkOf('a').repeat(maxBodyBytes)],
  ['bodies of one large chunk', 1500, chunkedHead + chunkOf('a'.repeat(maxBodyBytes))],
  ['heads over the limit', 1800, `${unendedHead}x: ${'a'.repeat(250_000)}`],
  ['heads of short lines', 1800, requestHead('/crowd/a', shortLines(15_000)).slice(0, -2)],
  ['bodies after heads of short lines', 1800, requestHead('/crowd/a', ['content-length: 9', ...shortLines(15_000)])],
  ['trailers of short lines', 1800, `${chunkedHead}0\r\n${shortLines(15_000).join('\r\n')}`],
])('%s that stop short of their end', async (_, connections, text) => {
  await startGateway();
  await expectToBearCrowd({ connections, text });
});

test('requests with heads of short lines that wait for their target', async () => {
  await startGateway();
  target.behaviour = 'silent';
  const crowd = await openCrowd({
    port: gateway.frontPort, connections: 1500, text: requestHead('/crowd/a', ['content-length: 0', ...shortLines(15_000)]),
  });
  try {
    await sent(crowd, gateway.exit);
    await expectToBear(crowd);
  } finally {
    crowd.close();
  }
});

test('many requests on each connection, of which none waits for an answer', async () => {
  await startGateway();
  target.behaviour = 'silent';
  const text = requestHead('/crowd/a', ['content-length: 0', ...shortLines(4000)]).repeat(200);
  const crowd = await openCrowd({ port: gateway.frontPort, connections: 60, text });
  try {
    await sent(crowd, gateway.exit);
    await expectToBear(crowd);
  } finally {
    crowd.close();
  }
});

test.each([
  ['empty lines on a new connection', 100, '', '\r\n'.repeat(1000)],
  ['empty lines on a kept connection', 100, requestHead('/crowd/a', ['content-length: 0']), '\r\n'.repeat(1000)],
  ['header lines', 200, unendedHead, 'a:b\r\n'.repeat(1000)],
  ['trailers', 200, `${chunkedHead}0\r\n`, 'a:b\r\n'.repeat(1000)],
  ['a chunk extension', 200, `${chunkedHead}1;`, 'a'.repeat(10_000)],
])('%s without end end their connection', async (_, connections, text, repeated) => {
  await startGateway();
  const crowd = await openCrowd({
    port: gateway.frontPort, connections, text, repeated,
  });
  try {
    await expect.poll(() => crowd.open, { timeout: patienceMs }).toBe(0);
    await expectToBear(crowd);
  } finally {
    crowd.close();
  }
});

test.each([
  ['that send nothing', ''],
  ['that send part of a head', unendedHead],
  ['that were answered', requestHead('/crowd/a', ['content-length: 0'])],
])('more connections than the gateway takes, %s', async (_, text) => {
  await startGateway();
  await expectToBearCrowd({ connections: 3500, text });
});

test.each([
  ['readiness', () => gateway.readinessPort, ''],
  ['metrics', () => gateway.metricsPort!, ''],
  ['relay', () => gateway.metricsPort! + 1, ''],
  ['relay, one-byte chunks', () => gateway.metricsPort! + 1, `PUT /rows/servers/a HTTP/1.1\r\nhost: a\r\ntransfer-encoding: chunked\r\n\r\n${chunkOf('a').repeat(60_000)}`],
])('connections to the port for %s that stay open', async (_, port, text) => {
  await startGateway();
  await expectToBearCrowd({ connections: text === '' ? 4500 : 60, port: port(), text });
});

test('ten thousand connections that open and close at once', async () => {
  await startGateway();
  const descriptorsBefore = await openDescriptors(gateway.child.pid!);
  const crowd = await openCrowd({
    port: gateway.frontPort, connections: 10_000, text: unendedHead, isClosing: true,
  });
  await expectToBear(crowd);
  await expect.poll(() => openDescriptors(gateway.child.pid!)).toBeLessThan(descriptorsBefore + 10);
});

test('a stop under clients that never complete their requests ends within its grace time', async () => {
  await startGateway();
  const crowd = await openCrowd({
    port: gateway.frontPort, connections: 1000, text: chunkedHead + chunkOf('a'),
  });
  await sent(crowd, gateway.exit);
  const stoppedAt = performance.now();
  gateway.child.kill('SIGTERM');
  await gateway.exit;
  expect(performance.now() - stoppedAt).toBeLessThan(10_000);
  crowd.close();
});
