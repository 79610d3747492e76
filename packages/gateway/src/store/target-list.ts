/**
 * Applies the platform's rows of targets to the table of targets. Targets whose rows expired during
 * an outage of the store, or are missing in a restored copy, stay in use for a grace period. Rows
 * of ended targets that a restored copy brings back are left out until their targets renew them.
 */
import type { Logger } from 'pino';
import {
  createLapseGrace, createRestoredRows, incarnationOf,
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

export interface TargetList extends Pick<FollowedTable, 'onStoreRecovered' | 'onStoreRestored'> {
  onRows(rows: readonly StoredRow[]): void;
  onChanges(rows: readonly StoredRow[]): void;
  /** When the row of a target last changed, on the entry's clock; -Infinity if it never did. */
  changedAt(id: string): number;
  close(): void;
}

export function createTargetList(deps: TargetListDeps): TargetList {
  const {
    clock, log, targets, decode,
  } = deps;
  const grace = createLapseGrace(clock, deps.graceOptions);
  const restoredRows = createRestoredRows(clock, deps.graceOptions.heartbeatMs);
  /** Targets whose rows a restored copy may have brought back, by id. */
  const doubtful = new Map<string, ServingTarget>();
  let cancelDoubtEnd: CancelTimer = () => {};
  const changeTimes = new Map<string, number>();
  /** Timers that remove targets whose rows have lapsed, by target id. */
  const removalTimers = new Map<string, CancelTimer>();

  function cancelRemoval(id: string) {
    removalTimers.get(id)?.();
    removalTimers.delete(id);
  }

  /** Records that the known incarnation of a target has ended, unless it is `next` itself. */
  function recordEnd(id: string, next: ServingTarget | undefined) {
    const known = targets.byId(id);
    if (!known || (next && incarnationOf(next) === incarnationOf(known))) return;
    restoredRows.recordEnded(known);
  }

  function removeTarget(id: string) {
    cancelRemoval(id);
    changeTimes.delete(id);
    doubtful.delete(id);
    recordEnd(id, undefined);
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
    doubtful.delete(row.key);
    restoredRows.recordWritten(target);
    recordEnd(row.key, target);
    changeTimes.set(row.key, clock.now());
    targets.apply({ id: row.key, target });
  }

  /** Uses the targets whose rows have outlived the time in which rows of ended targets expire. */
  function endDoubt() {
    doubtful.forEach((target, id) => {
      log.info({ target: id, address: target.address }, 'target kept its row after the restoration');
      targets.apply({ id, target });
    });
    doubtful.clear();
  }

  return {
    onStoreRecovered: grace.storeRecovered,
    onStoreRestored() {
      grace.storeRestored();
      cancelDoubtEnd();
      cancelDoubtEnd = clock.after(restoredRows.storeRestored(), endDoubt);
    },
    onRows(rows) {
      const decoded = rows.flatMap((row) => decode(row) ?? []);
      doubtful.clear();
      decoded.filter(restoredRows.isDoubtful).forEach((target) => doubtful.set(target.id, target));
      const listed = decoded.filter(({ id }) => !doubtful.has(id));
      const ids = new Set(rows.map(({ key }) => key).filter((id) => !doubtful.has(id)));
      ids.forEach(cancelRemoval);
      listed.forEach((target) => {
        restoredRows.recordWritten(target);
        recordEnd(target.id, target);
      });
      const missing = targets.all.filter(({ id }) => !ids.has(id));
      const kept = missing.filter(keepForGrace);
      missing.filter((target) => !kept.includes(target)).forEach(restoredRows.recordEnded);
      targets.reset([...listed, ...kept]);
      [...changeTimes.keys()].filter((id) => !targets.byId(id))
        .forEach((id) => changeTimes.delete(id));
    },
    onChanges: (rows) => rows.forEach(onChange),
    changedAt: (id) => changeTimes.get(id) ?? -Infinity,
    close() {
      cancelDoubtEnd();
      removalTimers.forEach((cancel) => cancel());
    },
  };
}
