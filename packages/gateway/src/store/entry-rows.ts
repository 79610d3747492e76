/** Rows in which entries announce themselves and, when one stops, when it will serve again. */
import type { Clock } from '@verbenashunt/core';
import type { StoredRow } from '../ports.js';

/** How other entries follow the store through an entry. */
export interface RelayAddress {
  /** IP:PORT. */
  address: string;
  zone: string;
  /** Capacity of the VM for the requests of other entries, in cores. */
  capacity: number;
}

/** Content of an entry's row. */
export interface EntryRecord {
  node: string;
  /** Undefined if it does not pass on changes of the store. */
  relay: RelayAddress | undefined;
  /** Time in milliseconds on the store's clock when it serves again; undefined while it serves. */
  backAt: number | undefined;
}

const keyPrefix = 'entry.';

export const entryKey = (node: string) => `${keyPrefix}${node}`;

/** Time in milliseconds that a stopped process takes from the end of its grace time to serve. */
const restartTimeMs = 500;

/** Time at which an entry that starts to stop at `now` is expected to serve again. */
export const expectedBackAt = (now: number, graceMs: number) => now + graceMs + restartTimeMs;

function parseRelay(value: unknown): RelayAddress | undefined {
  const { address, zone, capacity } = (value ?? {}) as Partial<RelayAddress>;
  return typeof address === 'string' && typeof zone === 'string' && Number.isFinite(capacity)
    ? { address, zone, capacity: capacity! }
    : undefined;
}

function parseEntry(value: Buffer): Omit<EntryRecord, 'node'> {
  const { backAt, relay } = JSON.parse(value.toString()) as Partial<Record<'backAt' | 'relay', unknown>>;
  return { backAt: typeof backAt === 'number' ? backAt : undefined, relay: parseRelay(relay) };
}

/**
 * Decodes the rows of entries, and skips all others. An entry whose row is invalid is still
 * returned, with its name alone, and the error is passed to `onInvalidRow`.
 */
export function decodeEntries(
  rows: readonly Pick<StoredRow, 'key' | 'value'>[],
  onInvalidRow: (key: string, err: unknown) => void,
): EntryRecord[] {
  return rows.filter(({ key }) => key.startsWith(keyPrefix)).flatMap(({ key, value }) => {
    if (value === undefined) return [];
    const node = key.slice(keyPrefix.length);
    try {
      return [{ node, ...parseEntry(value) }];
    } catch (err) {
      onInvalidRow(key, err);
      return [{ node, backAt: undefined, relay: undefined }];
    }
  });
}

/**
 * Milliseconds until an entry other than `node` serves: 0 if one serves now, Infinity if there is
 * no other.
 */
export function nextEntryMs(entries: readonly EntryRecord[], node: string, now: number): number {
  const waits = entries.filter((entry) => entry.node !== node)
    .map(({ backAt = now }) => Math.max(0, backAt - now));
  return waits.length > 0 ? Math.min(...waits) : Infinity;
}

/** The other entries and this one, as their rows state. */
export interface EntryList {
  readonly all: readonly EntryRecord[];
  /** Replaces the entries by those of a read of all rows. */
  update(entries: readonly EntryRecord[]): void;
  /** Records what an entry announces of itself. */
  put(entry: EntryRecord): void;
  /** Records that the store was restored from an older copy, which may lack rows of entries. */
  storeRestored(): void;
}

/**
 * Time in milliseconds within which all live entries notice that the store was restored and have
 * written their rows again; twice the longest interval between their reads.
 */
const rewriteMs = 8000;

export function createEntryList(clock: Clock): EntryList {
  let all: readonly EntryRecord[] = [];
  let keepUntil = -Infinity;

  return {
    get all() {
      return all;
    },
    update(entries) {
      const nodes = new Set(entries.map(({ node }) => node));
      // Without them, each entry would take too large a share of the common limits.
      const kept = clock.now() < keepUntil ? all.filter(({ node }) => !nodes.has(node)) : [];
      all = [...entries, ...kept];
    },
    put(entry) {
      all = [...all.filter(({ node }) => node !== entry.node), entry];
    },
    storeRestored() {
      keepUntil = clock.now() + rewriteMs;
    },
  };
}
