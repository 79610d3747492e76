/**
 * This entry's row of a table. Writes it until the store takes it, and sends it to the other
 * entries when the store does not take it at once.
 */
import type { Logger } from 'pino';
import { errorFields, type CancelTimer, type Clock } from '@verbenashunt/core';
import type { RowStore } from '../ports.js';
import type { Announcements } from '../relay/announcements.js';

export interface OwnRowDeps {
  clock: Clock;
  log: Logger;
  store: Pick<RowStore, 'write'>;
  announcements: Pick<Announcements, 'send'>;
  table: string;
  /** VM of this entry, the key of its row. */
  node: string;
  /** Returns the current value of the row. */
  encode(): Buffer;
}

export interface OwnRow {
  /** Writes the current value in `ms` milliseconds, or with an earlier write that is due. */
  writeIn(ms: number): void;
  /** To be called with the row as the store has it; writes it again if it is outdated. */
  onRead(value: Buffer | undefined): void;
  /** To be called when the store answers again; a write that failed is repeated at once. */
  storeRecovered(): void;
  close(): void;
}

/** Delay before a failed write is repeated, in milliseconds; it doubles with each failure. */
const firstRetryMs = 500;
const maxRetryMs = 4000;
/** Time in milliseconds after which a write without an answer is announced; most take a few. */
const announceAfterMs = 100;
/** Delay in milliseconds before the row is written again when the store has an outdated one. */
const rewriteDelayMs = 300;

export function createOwnRow(deps: OwnRowDeps): OwnRow {
  const {
    clock, log, store, announcements, table, node,
  } = deps;
  let cancel: CancelTimer = () => {};
  /** When the next write is due; undefined while none is. */
  let dueAt: number | undefined;
  let retryMs: number = firstRetryMs;
  /** Value of the last write, which the store may not have answered. */
  let sentValue: Buffer | undefined;
  let isClosed = false;

  async function write() {
    dueAt = undefined;
    sentValue = deps.encode();
    const row = { table, key: node, value: sentValue };
    let isAnnounced = false;
    const announce = () => {
      if (!isAnnounced) announcements.send(row);
      isAnnounced = true;
    };
    const cancelAnnouncement = clock.after(announceAfterMs, announce);
    try {
      await store.write({ expect: [], put: [row] });
      cancelAnnouncement();
      retryMs = firstRetryMs;
    } catch (err) {
      cancelAnnouncement();
      announce();
      log.info({ table, ...errorFields(err) }, 'row not written');
      // eslint-disable-next-line @typescript-eslint/no-use-before-define -- each leads to the other
      writeIn(retryMs);
      retryMs = Math.min(maxRetryMs, 2 * retryMs);
    }
  }

  function writeIn(ms: number) {
    const at = clock.now() + ms;
    if (isClosed || (dueAt ?? Infinity) <= at) return;
    cancel();
    dueAt = at;
    cancel = clock.after(ms, write);
  }

  return {
    writeIn,
    onRead(value) {
      // A write that seemed lost may have been carried out late, after a newer one.
      if (sentValue && value && !value.equals(sentValue)) writeIn(rewriteDelayMs);
    },
    storeRecovered() {
      if (dueAt !== undefined) writeIn(0);
    },
    close() {
      isClosed = true;
      cancel();
    },
  };
}
