/**
 * Rate-limited log of decisions on requests: a limited number of lines is written per message and
 * second; the others are counted by cause and summarised in one line.
 */
import type { Logger } from 'pino';
import type { Clock } from '@verbenashunt/core';

export interface RequestLog {
  /** Writes a line, or counts it when the limit for its message is reached. */
  info(fields: RequestFields, msg: string): void;
  close(): void;
}

export interface RequestFields {
  /** Id of the request; undefined if it had none. */
  req: string | undefined;
  /** `code`, `end` and `reason` tell the cause, by which the lines left out are counted. */
  code?: string;
  end?: string;
  reason?: string;
  [field: string]: unknown;
}

/** Lines written per message and period; eight messages of 300 bytes stay under 0.3 MB/s. */
const maxLinesPerPeriod = 100;
/** Distinct causes counted per period; any others are counted together per message. */
const maxCauses = 50;
const periodMs = 1000;
/** Digits in a reason are masked: addresses and numbers would make each line a separate cause. */
const digits = /\d+/g;

export function createRequestLog({ log, clock }: { log: Logger; clock: Clock }): RequestLog {
  const linesByMessage = new Map<string, number>();
  const leftOut = new Map<string, number>();
  let cancel = () => {};
  let isClosed = false;

  function flush() {
    if (leftOut.size > 0) log.info({ counts: Object.fromEntries(leftOut) }, 'lines left out');
    linesByMessage.clear();
    leftOut.clear();
  }

  function countLeftOut(msg: string, { code, end, reason }: RequestFields) {
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
      const lines = (linesByMessage.get(msg) ?? 0) + 1;
      linesByMessage.set(msg, lines);
      if (lines <= maxLinesPerPeriod) log.info(fields, msg);
      else countLeftOut(msg, fields);
    },
    close() {
      isClosed = true;
      cancel();
      flush();
    },
  };
}
