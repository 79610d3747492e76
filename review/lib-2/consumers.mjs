/** Stand-ins of consumers: one attempt per request, each on a connection of its own. */
import { randomBytes } from 'node:crypto';
import { request } from 'node:http';
import { setTimeout as sleep } from 'node:timers/promises';

const statusOk = 200;

/**
 * Sends a request and resolves to its end: the status (0 without an answer), the body, and whether
 * the answer was complete.
 */
export const send = (port, {
  id, method, path, host, key, deadlineMs, headers = {}, body = '',
}) => new Promise((resolve) => {
  const chunks = [];
  let status = 0;
  let stamp;
  let isComplete = false;
  const finish = (why) => resolve({
    status, stamp, body: Buffer.concat(chunks).toString(), isComplete, why,
  });
  const req = request({
    host: '127.0.0.1',
    port,
    method,
    path,
    agent: false,
    headers: {
      Host: host,
      'Request-Id': id,
      'Request-Deadline-Ms': deadlineMs,
      Authorization: `Bearer ${key}`,
      ...headers,
      ...(body === '' ? {} : { 'Content-Length': Buffer.byteLength(body) }),
    },
  }, (res) => {
    status = res.statusCode;
    stamp = res.headers['server-stamp'];
    res.on('data', (chunk) => chunks.push(chunk));
    res.on('end', () => {
      isComplete = res.complete;
      finish('end');
    });
    res.on('error', (err) => finish(err.code));
    res.on('close', () => finish('closed'));
  });
  req.on('error', (err) => finish(err.code));
  req.setTimeout(deadlineMs, () => req.destroy(Object.assign(new Error('deadline'), { code: 'deadline' })));
  req.end(body);
});

/** Whether the answer is a success with a server's proof, and complete. */
export const isServed = ({ status, stamp, isComplete }) => status === statusOk
  && stamp !== undefined && isComplete;

/**
 * Sends requests at a steady rate until it is stopped. `next(n)` describes the n-th one and its
 * port; `ended` is called with each description, when it was sent, and its end.
 */
export function startTraffic({ intervalMs, next, ended }) {
  const pending = new Set();
  const traffic = { isOver: false };

  async function sendOne(n) {
    const id = randomBytes(8).toString('hex');
    const { port, ...described } = next(n);
    const sentAt = performance.now();
    ended({ id, sentAt, ...described }, await send(port, { id, ...described }));
  }

  async function run(n = 0) {
    if (traffic.isOver) return;
    const one = sendOne(n);
    pending.add(one);
    one.finally(() => pending.delete(one));
    await sleep(intervalMs);
    await run(n + 1);
  }
  const running = run();

  return {
    async stop() {
      traffic.isOver = true;
      await running;
      await Promise.all(pending);
    },
  };
}
