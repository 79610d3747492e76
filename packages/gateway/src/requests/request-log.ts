/**
 * Log of decisions on requests, bounded under load. Of each kind of line only so many are written a
 * second; those left out are counted by what they would have said of the cause.
 */
import type { Logger } from 'pino';
import type { Clock } from '@verbenashunt/core';

export interface RequestLog {
  /** Writes a line on a request, or counts it. */
  info(fields: RequestFields, msg: string): void;
  close(): void;
}

export interface RequestFields {
  /** Id of the request; undefined for one that named none. */
  req: string | undefined;
  /** What tells the cause; lines that are left out are counted by these. */
  code?: string;
  end?: string;
  reason?: string;
  [field: string]: unknown;
}

/** Lines of one kind in a second; eight kinds of 300 bytes stay under 0.3 MB/s. */
const linesPerS = 100;
/** Different causes that are counted in a second. */
const maxCauses = 50;
const periodMs = 1000;
/** Digits of addresses and numbers in a reason, which would make each a cause of its own. */
const digits = /\d+/g;

export function createRequestLog({ log, clock }: { log: Logger; clock: Clock }): RequestLog {
  const written = new Map<string, number>();
  const leftOut = new Map<string, number>();
  let cancel = () => {};
  let isClosed = false;

  function flush() {
    if (leftOut.size > 0) log.info({ counts: Object.fromEntries(leftOut) }, 'lines left out');
    written.clear();
    leftOut.clear();
  }

  function count(msg: string, { code, end, reason }: RequestFields) {
    const cause = [msg, code, end, reason?.replace(digits, 'N')]
      .filter((part) => part !== undefined).join(': ');
    const key = leftOut.has(cause) || leftOut.size < maxCauses ? cause : `${msg}: other causes`;
    leftOut.set(key, (leftOut.get(key) ?? 0) + 1);
  }

  function tick() {
    if (isClosed) return;
    cancel = clock.after(periodMs, tick);
    flush();
  }
  tick();

  return {
    info(fields, msg) {
      const lines = (written.get(msg) ?? 0) + 1;
      written.set(msg, lines);
      if (lines <= linesPerS) log.info(fields, msg);
      else count(msg, fields);
    },
    close() {
      isClosed = true;
      cancel();
      flush();
    },
  };
}
