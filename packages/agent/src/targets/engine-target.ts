/** Client of a model engine: one duplex stream of operations and outputs, and status polls. */
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
const lineFeed = 0x0a;
const statusPollMs = 500;
const reopenDelayMs = 200;
/** Number of consecutive polls that fail immediately after which the engine is down. */
const maxImmediateFailures = 2;
/**
 * A poll that fails within this time failed immediately, as on a broken connection. One that takes
 * longer found the engine unresponsive; that single failure marks the engine as down.
 */
const immediateFailureMs = 500;

/** Maximum size of a status in bytes. */
const maxStatusBytes = 1024 * 1024;
/** Maximum size in bytes of a line of the stream, which holds the hidden states of one step. */
const maxLineBytes = 64 * 1024 * 1024;

export interface EngineHandlers {
  onOutput(out: EngineOut): void;
  /** Called when the engine answers and its stream is open. */
  onUp(status: EngineStatus): void;
  onStatus(status: EngineStatus): void;
  /** Called when the engine is lost together with all its sequences. */
  onDown(err: Error): void;
}

export interface EngineTarget {
  /** Sends an operation; ignored while the engine is down. */
  send(op: EngineOp): void;
  close(): Promise<void>;
}

/** Parses a line of the stream; undefined if it is not JSON. */
function parseLine(line: string): unknown {
  try {
    return JSON.parse(line);
  } catch {
    return undefined;
  }
}

/** Keeps a stream to the engine open and reports its state until it is closed. */
export function createEngineTarget(
  url: string,
  clock: Clock,
  handlers: EngineHandlers,
): EngineTarget {
  const streamClient = new Client(url, { headersTimeout: 0, bodyTimeout: 0 });
  const statusClient = new Client(url, {
    headersTimeout: 2000, bodyTimeout: 2000, maxResponseSize: maxStatusBytes,
  });
  let opStream: PassThrough | undefined;
  const pendingOps = createPendingOps();
  let session = randomUUID();
  /** Number of outputs received in this session. */
  let received = 0;
  let up = false;
  let closed = false;
  let polling = false;
  let immediateFailures = 0;
  let cancelPoll = () => {};

  async function fetchStatus(): Promise<EngineStatus> {
    const res = await statusClient.request({ method: 'GET', path: '/status' });
    const body: unknown = await res.body.json();
    if (validators.engineStatus(body)) return body;
    throw new TargetError('the engine sent a status that does not match its schema');
  }

  function markDown(err: Error) {
    opStream?.destroy();
    opStream = undefined;
    session = randomUUID();
    received = 0;
    pendingOps.clear();
    if (!up) return;
    up = false;
    handlers.onDown(err);
  }

  function receiveLine(line: string) {
    const out = parseLine(line);
    if (validators.engineOut(out)) {
      received += 1;
      pendingOps.removeAnswered(out);
      handlers.onOutput(out);
    } else markDown(new TargetError('the engine sent an output that does not match its schema'));
  }

  /** Opens the stream, or resumes it after the last output received. */
  async function openStream() {
    const input = new PassThrough();
    // undici sends the request headers only with the first bytes of the body.
    input.write('\n');
    const { body, statusCode } = await streamClient.request({
      method: 'POST', path: `/stream?session=${session}&after=${received}`, body: input,
    });
    const onStreamLost = () => {
      if (opStream !== input) return;
      opStream = undefined;
      // eslint-disable-next-line @typescript-eslint/no-use-before-define -- starts a poll
      if (!polling) pollAfter(0);
    };
    const lines = createInterface({ input: body });
    let lineBytes = 0;
    body.on('data', (chunk: Buffer) => {
      const lineEnd = chunk.lastIndexOf(lineFeed);
      lineBytes = lineEnd === -1 ? lineBytes + chunk.length : chunk.length - lineEnd - 1;
      if (lineBytes > maxLineBytes) body.destroy(new TargetError(`the engine sent a line of over ${maxLineBytes} bytes`));
    });
    lines.on('line', (line) => {
      if (opStream === input) receiveLine(line);
    });
    body.on('error', onStreamLost);
    // The line reader emits the errors of its input again.
    lines.on('error', onStreamLost);
    lines.on('close', onStreamLost);
    if (statusCode === statusNotFound) {
      markDown(new TargetError('the engine ended the session'));
      return;
    }
    opStream = input;
    pendingOps.list().forEach((op) => input.write(`${JSON.stringify(op)}\n`));
  }

  /* eslint-disable @typescript-eslint/no-use-before-define -- each poll schedules the next */
  function pollAfter(ms: number) {
    cancelPoll();
    if (!closed) cancelPoll = clock.after(ms, poll);
  }
  /* eslint-enable @typescript-eslint/no-use-before-define */

  function reportStatus(status: EngineStatus) {
    if (up) {
      handlers.onStatus(status);
      return;
    }
    up = true;
    handlers.onUp(status);
  }

  /**
   * Tolerates one immediate failure: a poll may fail because its connection broke while the engine
   * still holds the session and answers the next poll.
   */
  function pollFailed(err: Error, tookMs: number) {
    immediateFailures = tookMs < immediateFailureMs ? immediateFailures + 1 : maxImmediateFailures;
    if (immediateFailures >= maxImmediateFailures) markDown(err);
  }

  async function poll() {
    polling = true;
    const startedAt = clock.now();
    try {
      const status = await fetchStatus();
      if (!opStream) await openStream();
      immediateFailures = 0;
      // Without a stream, the engine ended the session; the next poll opens a new one.
      if (opStream) reportStatus(status);
    } catch (err) {
      pollFailed(err as Error, clock.now() - startedAt);
    }
    polling = false;
    const isStreamLost = up && !opStream;
    const nextMs = up ? statusPollMs : reopenDelayMs;
    pollAfter(isStreamLost ? 0 : nextMs);
  }

  poll();
  return {
    send(op) {
      // The sequences of an engine that is down are lost, so operations on them are dropped.
      if (!up) return;
      pendingOps.add(op);
      opStream?.write(`${JSON.stringify(op)}\n`);
    },
    async close() {
      closed = true;
      cancelPoll();
      opStream?.end();
      opStream = undefined;
      await Promise.all([streamClient.destroy(), statusClient.destroy()]);
    },
  };
}
