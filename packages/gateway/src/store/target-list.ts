/**
 * Applies the platform's rows of targets to the table of targets. Targets whose rows expired during
 * an outage of the store stay in use for a grace period.
 */
import type { Logger } from 'pino';
import {
  createLapseGrace,
  type CancelTimer, type Clock, type LapseGraceOptions, type ServingTarget, type TargetTable,
} from '@verbenashunt/core';
import type { StoredRow } from '../ports.js';
import type { FollowedTable } from './follow.js';

export interface TargetListDeps {
  clock: Clock;
  log: Logger;
  targets: TargetTable;
  graceOptions: LapseGraceOptions;
  /** Whether a target accepts a connection. */
  isReachable(target: ServingTarget): Promise<boolean>;
  /** Returns undefined for a row that names no usable target. */
  decode(row: StoredRow): ServingTarget | undefined;
}

export interface TargetList extends Omit<FollowedTable, 'table' | 'waitMs'> {
  /** When the row of a target last changed, on the entry's clock; -Infinity if it never did. */
  changedAt(id: string): number;
  close(): void;
}

export function createTargetList(deps: TargetListDeps): TargetList {
  const {
    clock, log, targets, decode,
  } = deps;
  const grace = createLapseGrace(clock, deps.graceOptions);
  const changeTimes = new Map<string, number>();
  /** Timers that remove targets whose rows have lapsed, by target id. */
  const removalTimers = new Map<string, CancelTimer>();

  function cancelRemoval(id: string) {
    removalTimers.get(id)?.();
    removalTimers.delete(id);
  }

  function removeTarget(id: string) {
    cancelRemoval(id);
    changeTimes.delete(id);
    targets.apply({ id, target: undefined });
  }

  /** Removes a target whose row has lapsed at once if it can't be reached either. */
  async function removeUnlessReachable(target: ServingTarget) {
    const { id } = target;
    if (await deps.isReachable(target) || !removalTimers.has(id)) return;
    log.info({ target: id }, 'lapsed target is unreachable; removed it');
    removeTarget(id);
  }

  /** Keeps a target without a row in use for the grace period; false if there is none. */
  function keepForGrace(target: ServingTarget): boolean {
    const { id } = target;
    if (removalTimers.has(id)) return true;
    const graceMs = grace.graceMsOf(target);
    if (graceMs === 0) return false;
    log.info({ target: id, address: target.address, graceMs }, 'target lapsed with the store');
    removalTimers.set(id, clock.after(graceMs, () => {
      log.info({ target: id }, 'lapsed target did not return');
      removeTarget(id);
    }));
    removeUnlessReachable(target);
    return true;
  }

  function onChange(row: StoredRow) {
    const target = decode(row);
    const known = targets.byId(row.key);
    if (!target && row.value === undefined && known && keepForGrace(known)) return;
    log.info({
      target: row.key,
      address: target?.address,
      draining: target?.draining,
      held: target?.held,
      gone: !target,
    }, 'target changed');
    if (!target) {
      removeTarget(row.key);
      return;
    }
    cancelRemoval(row.key);
    changeTimes.set(row.key, clock.now());
    targets.apply({ id: row.key, target });
  }

  return {
    onStoreRecovered: grace.storeRecovered,
    onRows(rows) {
      const listed = rows.flatMap((row) => decode(row) ?? []);
      const ids = new Set(rows.map(({ key }) => key));
      ids.forEach(cancelRemoval);
      const kept = targets.all.filter((target) => !ids.has(target.id) && keepForGrace(target));
      targets.reset([...listed, ...kept]);
      [...changeTimes.keys()].filter((id) => !targets.byId(id))
        .forEach((id) => changeTimes.delete(id));
    },
    onChanges: (rows) => rows.forEach(onChange),
    changedAt: (id) => changeTimes.get(id) ?? -Infinity,
    close() {
      removalTimers.forEach((cancel) => cancel());
    },
  };
}
