/** Late callers of an entry: what is refused as not run never runs, also after a standstill. */
import {
  afterAll, beforeAll, expect, test,
} from 'vitest';
import { request } from 'undici';
import { callerKey, startInProcessCluster, type InProcessCluster } from '../support/in-process.js';
import { openRaw } from '../support/raw-connection.js';
import { blockLoop, wait } from '../support/timing.js';

const bodyTimeoutMs = 600;
/** Time until the listener has checked for late requests. */
const judgedMs = bodyTimeoutMs + 1000;
const body = '{"amount":12}';

let cluster: InProcessCluster;
let service = '';

beforeAll(async () => {
  cluster = await startInProcessCluster({ headerTimeoutMs: 300, bodyTimeoutMs }, {}, {
    serviceUrl(url) {
      service = url;
      return url;
    },
  });
});

afterAll(() => cluster?.stop());

const head = (path: string) => `POST ${path} HTTP/1.1\r\nhost: x\r\nauthorization: Bearer ${callerKey}\r\nidempotency-key: ${path}\r\ncontent-length: ${body.length}\r\n\r\n`;

/** Number of calls with a path that the service has run. */
async function countRuns(path: string): Promise<number> {
  const res = await request(`${service}/_runs`);
  const { runs } = await res.body.json() as { runs: { path: string }[] };
  return runs.filter((run) => run.path === path).length;
}

const parts = [
  ['headers', '/payments?late=headers', (text: string) => text.indexOf('idempotency-key')],
  ['a body', '/payments?late=body', (text: string) => text.length - 5],
] as const;

// Guards against a 408, which promises that the call has not run, followed by its run.
test.each(parts)('a call that is late with %s is refused and never runs', async (_, path, splitAt) => {
  const text = head(path) + body;
  const caller = openRaw(cluster.entry.httpPort);
  caller.write(text.slice(0, splitAt(text)));
  await expect.poll(() => caller.received, { timeout: judgedMs }).toMatch(/^HTTP\/1\.1 408 /);
  caller.write(text.slice(splitAt(text)));
  await wait(300);
  expect(await countRuns(path)).toBe(0);
});

// Guards against taking a caller for late whose call arrived while the process stood still.
test.each(parts)('a call of which %s arrived during a standstill runs and is answered', async (_, late, splitAt) => {
  const path = `${late}&frozen`;
  const text = head(path) + body;
  const caller = openRaw(cluster.entry.httpPort);
  caller.write(text.slice(0, splitAt(text)));
  await wait(50);
  caller.write(text.slice(splitAt(text)));
  blockLoop(judgedMs);
  await expect.poll(() => caller.received, { timeout: 2000 }).toMatch(/^HTTP\/1\.1 201 /);
  expect(await countRuns(path)).toBe(1);
});

// Guards against a call that is passed on after its body came late, and cut off with the process.
test('a call whose body is complete only after the stop has begun is refused as not run', async () => {
  let ownService = '';
  const stopping = await startInProcessCluster({}, {}, {
    serviceUrl(url) {
      ownService = url;
      return url;
    },
  });
  const text = head('/payments') + body;
  const caller = openRaw(stopping.entry.httpPort);
  caller.write(text.slice(0, -5));
  await wait(100);
  const stopped = stopping.stopEntry();
  await wait(100);
  caller.write(text.slice(-5));
  await expect.poll(() => caller.received, { timeout: 2000 }).toMatch(/^HTTP\/1\.1 503 [^]*"ran":"no"/);
  const res = await request(`${ownService}/_runs`);
  expect(await res.body.json()).toEqual({ runs: [] });
  caller.socket.destroy();
  await stopped;
  await stopping.stop();
});

// Guards against a body without a time limit, as Node reports each request as late only once.
test('a call whose headers arrived during a standstill still has to send its body in time', async () => {
  const path = '/payments?late=rest';
  const text = head(path) + body;
  const caller = openRaw(cluster.entry.httpPort);
  caller.write(text.slice(0, 20));
  await wait(50);
  caller.write(text.slice(20, -1));
  // Long enough for the headers, not for the body.
  blockLoop(bodyTimeoutMs - 100);
  await expect.poll(() => caller.received, { timeout: 2 * judgedMs }).toMatch(/^HTTP\/1\.1 408 /);
  caller.write(text.slice(-1));
  await wait(200);
  expect(await countRuns(path)).toBe(0);
});
