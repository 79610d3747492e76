/** Stand-in for an HTTP service that returns rankings and accepts payments; records each call. */
import {
  readBody, sendJson, serve, type StandIn,
} from '../http/server.js';

interface Faults {
  /** Milliseconds before a call is executed. */
  delayMs: number;
  /** Milliseconds between execution and response. */
  answerDelayMs: number;
  /** Kills the process after a call is executed and before its response. */
  crashAfterEffect: boolean;
}

export interface ServiceOptions {
  host: string;
  port: number;
}

const sleep = (ms: number) => new Promise((resolve) => {
  setTimeout(resolve, ms);
});

export function startService({ host, port }: ServiceOptions): Promise<StandIn> {
  const runs: { method: string; path: string; body: string }[] = [];
  const faults: Faults = { delayMs: 0, answerDelayMs: 0, crashAfterEffect: false };
  return serve(host, port, async (req, res, url) => {
    if (url.pathname === '/_faults') {
      Object.assign(faults, JSON.parse(await readBody(req)));
      sendJson(res, 200, faults);
      return;
    }
    if (url.pathname === '/_runs') {
      sendJson(res, 200, { runs });
      return;
    }
    const body = await readBody(req);
    if (faults.delayMs > 0) await sleep(faults.delayMs);
    const method = req.method ?? 'GET';
    const path = url.pathname + url.search;
    runs.push({ method, path, body });
    if (faults.crashAfterEffect) process.kill(process.pid, 'SIGKILL');
    if (faults.answerDelayMs > 0) await sleep(faults.answerDelayMs);
    if (method === 'GET') sendJson(res, 200, { path, rank: path.length });
    else sendJson(res, 201, { path, number: runs.length });
  });
}
