/** The agent's side of a model engine: one duplex stream of operations, and its status. */
import { randomUUID } from 'node:crypto';
import { PassThrough } from 'node:stream';
import { createInterface } from 'node:readline';
import { Client } from 'undici';
import { TargetError, type Clock } from '@verbenashunt/core';
import {
  validators, type EngineOp, type EngineOut, type EngineStatus,
} from '@verbenashunt/schema';
import { createPendingOps } from './pending-ops.js';

const statusNotFound = 404;
const statusPollMs = 500;
const reopenMs = 200;
/** Polls in a row that fail at once before an engine that was up counts as down. */
const maxQuickFailures = 2;
/** A poll that fails later than this met a silent engine, not a connection that broke. */
const quickMs = 500;

export interface EngineHandlers {
  onOutput(out: EngineOut): void;
  /** The engine answers and its stream is open. */
  onUp(status: EngineStatus): void;
  onStatus(status: EngineStatus): void;
  /** All sequences of the engine are gone. */
  onDown(err: Error): void;
}

export interface EngineTarget {
  run(op: EngineOp): void;
  close(): Promise<void>;
}

/** A line of the engine's stream; undefined when it is not JSON. */
function parseLine(line: string): unknown {
  try {
    return JSON.parse(line);
  } catch {
    return undefined;
  }
}

/** Keeps a stream to the engine open and reports its state until closed. */
export function createEngineTarget(
  url: string,
  clock: Clock,
  handlers: EngineHandlers,
): EngineTarget {
  const streamClient = new Client(url, { headersTimeout: 0, bodyTimeout: 0 });
  const statusClient = new Client(url, { headersTimeout: 2000, bodyTimeout: 2000 });
  let ops: PassThrough | undefined;
  const pending = createPendingOps();
  let session = randomUUID();
  /** Outputs received in this session. */
  let received = 0;
  let up = false;
  let closed = false;
  let polling = false;
  let quickFailures = 0;
  let cancelPoll = () => {};

  async function status(): Promise<EngineStatus> {
    const res = await statusClient.request({ method: 'GET', path: '/status' });
    const body: unknown = await res.body.json();
    if (validators.engineStatus(body)) return body;
    throw new TargetError('the engine sent a status that does not match its schema');
  }

  function down(err: Error) {
    ops?.destroy();
    ops = undefined;
    session = randomUUID();
    received = 0;
    pending.clear();
    if (!up) return;
    up = false;
    handlers.onDown(err);
  }

  function receive(line: string) {
    const out = parseLine(line);
    if (validators.engineOut(out)) {
      received += 1;
      pending.answered(out);
      handlers.onOutput(out);
    } else down(new TargetError('the engine sent an output that does not match its schema'));
  }

  /** Opens the stream, or resumes it where it broke off. */
  async function open() {
    const input = new PassThrough();
    // undici sends the head of the request with the first bytes of its body.
    input.write('\n');
    const { body, statusCode } = await streamClient.request({
      method: 'POST', path: `/stream?session=${session}&after=${received}`, body: input,
    });
    const lost = () => {
      if (ops !== input) return;
      ops = undefined;
      // eslint-disable-next-line @typescript-eslint/no-use-before-define -- a loss starts a poll
      if (!polling) pollAfter(0);
    };
    const lines = createInterface({ input: body });
    lines.on('line', (line) => {
      if (ops === input) receive(line);
    });
    body.on('error', lost);
    // The reader passes on the errors of its input.
    lines.on('error', lost);
    lines.on('close', lost);
    if (statusCode === statusNotFound) {
      down(new TargetError('the engine ended the session'));
      return;
    }
    ops = input;
    pending.list().forEach((op) => input.write(`${JSON.stringify(op)}\n`));
  }

  /* eslint-disable @typescript-eslint/no-use-before-define -- each poll sets the next */
  function pollAfter(ms: number) {
    cancelPoll();
    if (!closed) cancelPoll = clock.after(ms, poll);
  }
  /* eslint-enable @typescript-eslint/no-use-before-define */

  function tell(found: EngineStatus) {
    if (up) {
      handlers.onStatus(found);
      return;
    }
    up = true;
    handlers.onUp(found);
  }

  /**
   * A connection that breaks may take the poll with it; the engine still has the session then, and
   * answers the next one.
   */
  function pollFailed(err: Error, tookMs: number) {
    quickFailures = tookMs < quickMs ? quickFailures + 1 : maxQuickFailures;
    if (quickFailures >= maxQuickFailures) down(err);
  }

  async function poll() {
    polling = true;
    const startedAt = clock.now();
    try {
      const found = await status();
      if (!ops) await open();
      quickFailures = 0;
      // Without a stream, the engine has ended the session; the next poll opens another.
      if (ops) tell(found);
    } catch (err) {
      pollFailed(err as Error, clock.now() - startedAt);
    }
    polling = false;
    const isCutOff = up && !ops;
    const nextMs = up ? statusPollMs : reopenMs;
    pollAfter(isCutOff ? 0 : nextMs);
  }

  poll();
  return {
    run(op) {
      // What is sent to an engine that is down is lost, as its sequences are.
      if (!up) return;
      pending.sent(op);
      ops?.write(`${JSON.stringify(op)}\n`);
    },
    async close() {
      closed = true;
      cancelPoll();
      ops?.end();
      ops = undefined;
      await Promise.all([streamClient.destroy(), statusClient.destroy()]);
    },
  };
}
