/** After a freeze, a machine answers 408 and then runs the request that had arrived meanwhile. */
import { operatorConfig } from '@verbenashunt/platform/stand-in';
import { sendInParts } from '../lib/consumers.mjs';
import { repeat, runCase, sleep } from '../lib/harness.mjs';
import { startLink } from '../lib/link.mjs';
import { startServer } from '../lib/wire.mjs';

/** Whether the disruption is part of this run. */
const hasTrouble = process.env.TROUBLE !== '0';

/** One way to consumers, as the sheet of the deployment says. */
const linkMs = 1;
const consumerCount = 8;
/** Longest time for a head; the configuration allows 3,000 ms. */
const longestHeadMs = 600;
const pauseMs = 200;
const deadlineMs = 10_000;
const freezeMs = 4000;
const freezeCount = 12;
const calmMs = 2500;
const workMs = 20;
/** Statuses that promise that the request has not run and never will. */
const promises = [408, 421, 429, 503];

runCase(import.meta.url, async ({
  store, record, startGateway, waitReady, atEnd,
}) => {
  const server = await startServer({
    id: 'app-1',
    service: 'app',
    record,
    respond({ requestId }, _, answer) {
      setTimeout(() => answer(200, `done ${requestId}`, { 'server-stamp': 'stamp.app-1' }), workMs);
    },
  });
  atEnd(server.close);
  store.put('servers', server.id, server.row({ slots: consumerCount }));
  const { routes, ...config } = operatorConfig(1);
  store.put('op', 'config', {
    ...config, routes: routes.map((route) => ({ ...route, timeoutMs: deadlineMs })),
  });
  const gateway = await startGateway({ node: 'edge-1' });
  await waitReady(gateway);
  const link = await startLink(gateway.front, linkMs);
  atEnd(link.close);
  const answers = [];
  let sent = 0;
  let isOver = false;

  /** Sends a submission, and after a promise that it has not run, once more as a new request. */
  async function submit(body) {
    sent += 1;
    const headMs = Math.random() * longestHeadMs;
    const answer = await sendInParts(link.port, {
      path: '/write/result', id: `r${sent}`, body, deadlineMs, headMs,
    }, record);
    answers.push(answer);
    if (promises.includes(answer.status)) await submit(body);
  }

  async function consume() {
    if (isOver) return;
    await submit(`result ${sent + 1}`);
    await sleep(Math.random() * pauseMs);
    await consume();
  }

  async function freeze() {
    await sleep(calmMs);
    if (hasTrouble) gateway.signal('SIGSTOP');
    await sleep(freezeMs);
    if (hasTrouble) gateway.signal('SIGCONT');
  }

  const consumers = Array.from({ length: consumerCount }, consume);
  await repeat(freezeCount, freeze);
  await sleep(calmMs);
  isOver = true;
  await Promise.all(consumers);
  const ran = new Set(server.ran.map(({ requestId }) => requestId));
  const submissions = new Set(server.ran.map(({ body }) => body));
  record.add(`${server.ran.length - submissions.size} submissions have run a second time`);
  record.add(`${answers.length} requests, ${ran.size} run, ${answers.filter(({ status }) => promises.includes(status)).length} promises`);
  return answers.filter(({ id, status }) => promises.includes(status) && ran.has(id))
    .map(({ id, status }) => `REFUSED: ${id} was answered ${status} and has run`);
});
