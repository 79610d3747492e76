/**
 * Sends rows to the other entries directly, for use while the store does not take them. Every entry
 * may announce a row of its own; the receivers treat it as a row that they have read.
 */
import type { Logger } from 'pino';
import { errorFields } from '@verbenashunt/core';
import { exchangeOnce, type Exchanger } from '@verbenashunt/wire';
import type { EntryRecord } from '../store/entry-rows.js';

/** Path under which an entry receives the rows of others, followed by table and key. */
export const announcementPath = '/rows';

/** A row that an entry announces. */
export interface AnnouncedRow {
  table: string;
  key: string;
  value: Buffer;
}

export interface AnnouncementsDeps {
  log: Logger;
  exchanger: Exchanger;
  node: string;
  entries(): readonly EntryRecord[];
}

export interface Announcements {
  /** Sends a row to all other entries; lost ones are not repeated. */
  send(row: AnnouncedRow): void;
  /** Calls the handler with the rows of a table that others announce. */
  onRow(table: string, handler: (row: AnnouncedRow) => void): void;
  /** To be called with a row that another entry has sent. */
  receive(row: AnnouncedRow): void;
}

/** Timeout in milliseconds of one announcement. */
const timeoutMs = 500;

export function createAnnouncements(deps: AnnouncementsDeps): Announcements {
  const { log, exchanger, node } = deps;
  const handlers = new Map<string, (row: AnnouncedRow) => void>();

  const sendTo = (address: string, { table, key, value }: AnnouncedRow) => exchangeOnce(
    exchanger,
    address,
    {
      method: 'PUT',
      path: `${announcementPath}/${encodeURIComponent(table)}/${encodeURIComponent(key)}`,
      headers: ['Host', address],
      body: value,
    },
    timeoutMs,
  );

  return {
    send(row) {
      const addresses = deps.entries().filter((entry) => entry.node !== node)
        .flatMap(({ relay }) => relay?.address ?? []);
      addresses.forEach((address) => {
        sendTo(address, row).catch((err) => {
          log.info({ address, table: row.table, ...errorFields(err) }, 'row not announced');
        });
      });
    },
    onRow: (table, handler) => handlers.set(table, handler),
    receive: (row) => handlers.get(row.table)?.(row),
  };
}
