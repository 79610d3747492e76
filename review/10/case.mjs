/**
 * A zone of model servers with large cards, to which some with small and large ones are added.
 * Three with large cards are lost for good; right after that all processes of the system are
 * killed, and are back soon.
 */
import { setTimeout as sleep } from 'node:timers/promises';
import {
  host, key, largeCard, longModelLayers, mixedCardsConfig, smallCard,
} from '../lib-2/config.mjs';
import { isServed, startTraffic } from '../lib-2/consumers.mjs';
import { bounds, createGateway, startStore } from '../lib-2/deployment.mjs';
import { createRecord, judgeRecovery } from '../lib-2/record.mjs';
import { startModelServer } from '../lib-2/servers.mjs';

const isTroubled = process.env.TROUBLE !== '0';
const largeServers = 28;
/** Empty servers that are added while the others serve, first small ones, then some of both. */
const addedSmall = 7;
const addedLater = { large: 2, small: 2 };
/** Servers that are lost for good; with LOST=2 the path stays short enough, for comparison. */
const lostServers = Number(process.env.LOST ?? 3);
const folder = new URL('.', import.meta.url);
const events = 20;
/** Time in which the first layers are loaded, before the traffic. */
const startMs = 10_000;
/** Time of steady service before the servers are added, and after it. */
const calmMs = 5000;
/** Time after the kill at which the processes of the system start again. */
const restartMs = 1300;
const recoveryMs = bounds.recoveryS * 1000;
/** Time after `recoveryS` in which requests count. */
const countedMs = 15_000;

const record = createRecord();
const requests = [];

const startServers = (store, from, count, kind) => Promise.all(Array.from(
  { length: count },
  (_, i) => {
    const id = `i-${kind}-${from + i}`;
    return startModelServer(store, {
      id,
      service: 'llm-pool',
      layers: longModelLayers,
      kind,
      loadMs: 100,
      events,
      eventMs: 20,
      runs: (request) => record.add(`${id} runs ${request}`),
    });
  },
));

/** Servers that hold three layers which no other holds, with some others between them. */
const chooseLost = (servers) => servers
  .filter(({ held }) => held && held.to - held.from === 3 && servers
    .filter((other) => other.held?.from === held.from).length === 1)
  .filter((_, i) => i % 5 === 2).slice(0, lostServers);

async function run() {
  const store = await startStore();
  store.put('op', 'config', mixedCardsConfig);
  const gateways = [await createGateway(store, 'edge-1'), await createGateway(store, 'edge-2')];
  let servers = await startServers(store, 0, largeServers, largeCard);
  try {
    gateways.forEach((gateway) => gateway.start());
    await Promise.all(gateways.map((gateway) => gateway.waitUntilReady()));
    await sleep(startMs);
    const traffic = startTraffic({
      intervalMs: 100,
      next: (n) => ({
        port: gateways[n % 2].frontPort,
        method: 'POST',
        path: `/explain/${n}`,
        host,
        key,
        deadlineMs: 10_000,
        headers: { Model: 'model', 'Token-Usage': '100,40', 'Prompt-Prefix': `5c1e07a2:40,${n.toString(16)}:60` },
        body: `prompt ${n}`,
      }),
      ended({ id, path, sentAt }, answer) {
        const served = isServed(answer) && answer.body.includes(`id: ${events}\n`);
        requests.push({ sentAt, served });
        const detail = served ? 'whole stream' : `${answer.why} ${answer.body.slice(0, 150).replaceAll('\n', ' ')}`;
        record.add(`sent ${path} ${id}`, sentAt);
        record.add(`answered ${id}: ${answer.status} ${detail}`);
      },
    });
    await sleep(calmMs);
    servers = [...servers, ...await startServers(store, 0, addedSmall, smallCard)];
    record.add('servers with small cards are added');
    await sleep(calmMs);
    servers = [
      ...servers,
      ...await startServers(store, largeServers, addedLater.large, largeCard),
      ...await startServers(store, addedSmall, addedLater.small, smallCard),
    ];
    record.add('servers with large and small cards are added');
    await sleep(calmMs);
    const faultAt = performance.now();
    if (isTroubled) {
      chooseLost(servers).forEach((server) => {
        record.add(`${server.id} is lost for good, with the layers from ${server.held.from}`);
        server.kill();
      });
      record.add('all processes of the system are killed');
      await Promise.all(gateways.map((gateway) => gateway.kill()));
      await sleep(restartMs);
      gateways.forEach((gateway) => gateway.start());
      await Promise.all(gateways.map((gateway) => gateway.waitUntilReady()));
      record.add('all processes of the system are back');
    } else record.add('no fault');
    const backAt = performance.now();
    await sleep(recoveryMs + countedMs);
    await traffic.stop();
    const { before, after, isBroken } = judgeRecovery(requests, { faultAt, backAt, recoveryMs });
    const summary = `before the fault ${before.served} of ${before.count} served; later than ${bounds.recoveryS} s after all was back ${after.served} of ${after.count}`;
    record.add(`RECOVER ${isBroken ? 'broken' : 'held'}: ${summary}`);
    process.stdout.write(`RECOVER ${isBroken ? 'broken' : 'held'}: ${summary}\n`);
    return isBroken ? 1 : 0;
  } finally {
    servers.forEach((server) => server.kill());
    await Promise.all(gateways.map((gateway) => gateway.remove()));
    await store.close();
    await record.write(folder);
  }
}

try {
  process.exitCode = await run();
} catch (err) {
  process.stderr.write(`${err.stack}\n`);
  process.exitCode = 2;
}
