/** A server that has said it is leaving gets new work when a late write brings its entry back. */
import { operatorConfig } from '@verbenashunt/platform/stand-in';
import { runCase, sleep, until } from '../lib/harness.mjs';
import { openConnection, requestText, startServer } from '../lib/wire.mjs';

/** Whether the disruption is part of this run. */
const hasTrouble = process.env.TROUBLE !== '0';
const drainMs = 2000;
/** Time of a call at the server that stays, and at the one that leaves. */
const shortWorkMs = 50;
const longWorkMs = 800;
const consumerCount = 6;
const pauseMs = 50;
const deadlineMs = 1500;
/** The late write is performed this long after the answer that says the server is leaving. */
const lateWriteMs = drainMs + 200;
/** The server ends this long after the late write, which is before the calls that reach it end. */
const endMs = 600;
const answerTimeoutMs = 3000;

runCase(import.meta.url, async ({
  store, record, startGateway, waitReady, atEnd,
}) => {
  const state = { isLeaving: false };
  const startApp = async (id, workMs, extraHeaders) => {
    const app = await startServer({
      id,
      service: 'app',
      record,
      respond({ requestId }, _, answer) {
        setTimeout(() => answer(200, `done ${requestId}`, { 'server-stamp': `stamp.${id}`, ...extraHeaders() }), workMs);
      },
    });
    atEnd(app.close);
    store.put('servers', id, app.row());
    return app;
  };
  await startApp('app-stays-1', shortWorkMs, () => ({}));
  await startApp('app-stays-2', shortWorkMs, () => ({}));
  const leaver = await startApp('app-leaves', longWorkMs, () => (state.isLeaving ? { 'server-leaving': '1' } : {}));
  const { routes, ...config } = operatorConfig(1);
  store.put('op', 'config', {
    ...config, routes: routes.map((route) => ({ ...route, targetLatencyMs: 1000 })),
  });
  const gateway = await startGateway({ node: 'edge-1' });
  await waitReady(gateway);

  const sentAt = new Map();
  let sent = 0;
  let isOver = false;
  /** When a consumer had the first answer that says that the server is leaving. */
  let toldAt = Infinity;

  async function send() {
    sent += 1;
    const id = `r${sent}`;
    const connection = openConnection(gateway.front);
    sentAt.set(id, performance.now());
    record.add(`${id} is sent: POST /write/x`);
    connection.write(requestText({
      path: '/write/x', id, body: id, deadlineMs,
    }));
    await until(() => connection.isClosed || connection.message() !== undefined, answerTimeoutMs);
    connection.socket.destroy();
    const isTold = /^server-leaving: 1/im.test(connection.received);
    record.add(`${id} is answered: ${connection.status() ?? 'nothing'}${isTold ? ', server-leaving: 1' : ''}`);
    if (isTold) toldAt = Math.min(toldAt, performance.now());
  }

  async function consume() {
    if (isOver) return;
    await send();
    await sleep(pauseMs);
    await consume();
  }

  // Calls until one is at the server that is to leave, which leaves soon after the call began.
  const sendUntilThere = async () => {
    const call = send();
    await sleep(pauseMs);
    return leaver.ran.length > 0 ? call : sendUntilThere();
  };
  const first = sendUntilThere();
  if (!await until(() => leaver.ran.length > 0, answerTimeoutMs)) throw new Error('no call reached the server');
  state.isLeaving = true;
  record.add('app-leaves begins to leave, and removes its entry; app-new takes its place');
  store.remove('servers', leaver.id);
  await startApp('app-new', shortWorkMs, () => ({}));
  const consumers = Array.from({ length: consumerCount }, consume);
  if (!await until(() => toldAt < Infinity, answerTimeoutMs)) throw new Error('no answer said that the server is leaving');
  await sleep(lateWriteMs);
  if (hasTrouble) {
    record.add('the store performs a ping of app-leaves that was sent before it left');
    store.put('servers', leaver.id, leaver.row({ sequence: 2 }));
  }
  await sleep(endMs);
  record.add('app-leaves ends');
  await leaver.close();
  await sleep(answerTimeoutMs);
  isOver = true;
  await Promise.all([first, ...consumers]);
  return leaver.ran.filter(({ requestId }) => sentAt.get(requestId) > toldAt + drainMs)
    .map(({ requestId }) => `DRAIN: ${requestId}, sent ${Math.round(sentAt.get(requestId) - toldAt)} ms after an answer with Server-Leaving, reached that server`);
});
