/** The agent's side of a model engine: one duplex stream of operations, and its status. */
import { PassThrough } from 'node:stream';
import { createInterface } from 'node:readline';
import { Client } from 'undici';
import { TargetError, type Clock } from '@verbenashunt/core';
import {
  validators, type EngineOp, type EngineOut, type EngineStatus,
} from '@verbenashunt/schema';

const statusPollMs = 500;
const reopenMs = 200;

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
  let up = false;
  let closed = false;
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
    if (!up) return;
    up = false;
    handlers.onDown(err);
  }

  function receive(line: string) {
    const out = parseLine(line);
    if (validators.engineOut(out)) handlers.onOutput(out);
    else down(new TargetError('the engine sent an output that does not match its schema'));
  }

  async function open() {
    const input = new PassThrough();
    ops = input;
    // undici sends the head of the request with the first bytes of its body.
    input.write('\n');
    const { body } = await streamClient.request({ method: 'POST', path: '/stream', body: input });
    const lines = createInterface({ input: body });
    lines.on('line', receive);
    const lost = () => {
      if (ops === input) down(new TargetError('the engine closed its stream'));
    };
    body.on('error', lost);
    // The reader passes on the errors of its input.
    lines.on('error', lost);
    lines.on('close', lost);
  }

  async function poll() {
    try {
      const found = await status();
      if (!ops) await open();
      if (up) {
        handlers.onStatus(found);
      } else {
        up = true;
        handlers.onUp(found);
      }
    } catch (err) {
      down(err as Error);
    }
    if (!closed) cancelPoll = clock.after(up ? statusPollMs : reopenMs, poll);
  }

  poll();
  return {
    run(op) {
      ops?.write(`${JSON.stringify(op)}\n`);
    },
    async close() {
      closed = true;
      cancelPoll();
      ops?.end();
      await Promise.all([streamClient.destroy(), statusClient.destroy()]);
    },
  };
}
