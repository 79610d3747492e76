/** In-memory platform client whose table service can fail in the ways of the real one. */
import { ConflictError, PlatformError } from '@verbenashunt/core';
import type { Row, Transaction, Vm } from '@verbenashunt/schema';
import type { PlatformClient } from '@verbenashunt/wire';

/**
 * Fault of a write. All throw PlatformError; `lose-answer` takes effect, `lose-request` does not,
 * `delay` takes effect at `release`.
 */
export type WriteFault = 'lose-answer' | 'lose-request' | 'delay';

interface FakeState {
  outage: boolean;
  reads: number;
  writes: number;
  vms: Vm[];
  /** Faults of the next writes, in order; later writes succeed. */
  faults: WriteFault[];
  /** Called before a write takes effect, so that a test can interleave another action. */
  beforeWrite: ((transaction: Transaction) => Promise<void> | void) | undefined;
}

export interface FakePlatform extends PlatformClient, FakeState {
  /** Applies the delayed writes whose conditions still hold. */
  release(): void;
  value(table: string, key: string): string | undefined;
  overwrite(table: string, key: string, value: string): void;
}

export function createFakePlatform(): FakePlatform {
  const rows = new Map<string, Row>();
  const delayed: Transaction[] = [];
  const rowKey = (table: string, key: string) => `${table}\n${key}`;

  function applyWrite({ conditions, puts }: Transaction) {
    const failed = conditions
      .find(({ table, key, version }) => (rows.get(rowKey(table, key))?.version ?? 0) !== version);
    if (failed) throw new ConflictError(`${failed.table}/${failed.key}`);
    puts.forEach(({ table, key, value }) => {
      const version = (rows.get(rowKey(table, key))?.version ?? 0) + 1;
      rows.set(rowKey(table, key), { key, value, version });
    });
  }

  const state: FakeState = {
    outage: false, reads: 0, writes: 0, vms: [], faults: [], beforeWrite: undefined,
  };

  async function read<T>(value: () => T): Promise<T> {
    state.reads += 1;
    await Promise.resolve();
    if (state.outage) throw new PlatformError('outage');
    return value();
  }

  return Object.assign(state, {
    release: () => delayed.splice(0).forEach((transaction) => {
      try {
        applyWrite(transaction);
      } catch (err) {
        if (!(err instanceof ConflictError)) throw err;
      }
    }),
    value: (table: string, key: string) => rows.get(rowKey(table, key))?.value,
    overwrite(table: string, key: string, value: string) {
      rows.set(rowKey(table, key), { ...rows.get(rowKey(table, key))!, value });
    },
    get: (table: string, key: string) => read(() => rows.get(rowKey(table, key))),
    scan: (table: string, prefix: string) => read(() => [...rows]
      .filter(([id]) => id.startsWith(rowKey(table, prefix)))
      .map(([, row]) => row)
      .sort((a, b) => (a.key < b.key ? -1 : 1))),
    async transact(transaction: Transaction) {
      state.writes += 1;
      await state.beforeWrite?.(transaction);
      if (state.outage) throw new PlatformError('outage');
      const fault = state.faults.shift();
      if (fault === 'delay') delayed.push(transaction);
      if (fault !== 'lose-request' && fault !== 'delay') applyWrite(transaction);
      if (fault) throw new PlatformError(fault);
    },
    putObject: () => Promise.resolve(),
    getObject: () => Promise.resolve(undefined),
    listVms: () => Promise.resolve(state.vms),
    close: () => Promise.resolve(),
  } satisfies Omit<FakePlatform, keyof FakeState>);
}
