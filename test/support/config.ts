/** Declarations, commands and configuration stores for tests. */
import {
  createConfigHolder, diffItems, drainItem, itemsOf, type ConfigHolder, type Clock,
} from '@verbenashunt/core';
import { createConfigStore, type ConfigStore } from '@verbenashunt/entry';
import type { Command, Declarations } from '@verbenashunt/schema';
import type { PlatformClient } from '@verbenashunt/wire';

const keyHash = 'a'.repeat(64);

/** One fleet with targets t-1 to t-n, and organisations o-1 to o-n. */
export const declarationsOfSize = (n: number, version = 'v1'): Declarations => ({
  fleets: [{
    name: 'armor',
    models: [{ name: 'rankings', version, layers: 12 }],
    targets: Array.from({ length: n }, (_, i) => ({
      name: `t-${i + 1}`, kind: 'engine' as const, checksFencing: false,
    })),
  }],
  organisations: Array.from({ length: n }, (_, i) => ({ name: `o-${i + 1}`, keyHashes: [keyHash] })),
});

export const applyCommand = (
  commandId: string,
  config: ConfigHolder,
  declarations: Declarations,
): Command => ({
  commandId,
  kind: 'apply',
  baseRevision: config.revision,
  changes: diffItems(config.items, itemsOf(declarations)),
});

export const drainCommand = (commandId: string, baseRevision: number, target: string): Command => ({
  commandId, kind: 'drain', baseRevision, changes: [{ item: drainItem(target), value: '{"reason":""}' }],
});

export const undrainCommand = (
  commandId: string,
  baseRevision: number,
  target: string,
): Command => ({
  commandId, kind: 'undrain', baseRevision, changes: [{ item: drainItem(target) }],
});

/** Virtual clock whose timers fire in the next turn of the event loop and advance the time. */
export function createEagerClock(): Clock {
  let now = 0;
  return {
    now: () => now,
    wall: () => now,
    after(ms, callback) {
      let cancelled = false;
      setImmediate(() => {
        if (cancelled) return;
        now += ms;
        callback();
      });
      return () => {
        cancelled = true;
      };
    },
  };
}

export interface TestEntry {
  config: ConfigHolder;
  store: ConfigStore;
}

/** Creates one entry's configuration; entries with the same platform share its tables. */
export function createTestEntry(platform: PlatformClient): TestEntry {
  const config = createConfigHolder(() => {});
  const store = createConfigStore({
    platform, clock: createEagerClock(), random: () => 0.5, config,
  });
  return { config, store };
}
