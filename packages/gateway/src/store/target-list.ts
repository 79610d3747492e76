/** Takes the platform's rows of targets over into the table of targets. */
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
  limits: LapseGraceOptions;
  /** Whether a target takes a connection. */
  isReachable(target: ServingTarget): Promise<boolean>;
  /** Undefined for a row that names no target that could be used. */
  decode(row: StoredRow): ServingTarget | undefined;
}

export interface TargetList extends Omit<FollowedTable, 'table' | 'waitMs'> {
  /** When the row of a target last changed, on the entry's clock; -Infinity where none was seen. */
  changedAt(id: string): number;
  close(): void;
}

export function createTargetList(deps: TargetListDeps): TargetList {
  const {
    clock, log, targets, decode,
  } = deps;
  const grace = createLapseGrace(clock, deps.limits);
  const changed = new Map<string, number>();
  /** Timers that end the use of targets whose rows have lapsed. */
  const lapsed = new Map<string, CancelTimer>();

  function returned(id: string) {
    lapsed.get(id)?.();
    lapsed.delete(id);
  }

  function drop(id: string) {
    returned(id);
    changed.delete(id);
    targets.apply({ id, target: undefined });
  }

  /** Ends the use of a target whose row has lapsed if it can't be reached either. */
  async function dropUnlessReachable(target: ServingTarget) {
    const { id } = target;
    if (await deps.isReachable(target) || !lapsed.has(id)) return;
    log.info({ target: id }, 'lapsed target is dead');
    drop(id);
  }

  /** Whether a target without a row is used on for now. */
  function outlasts(target: ServingTarget): boolean {
    const { id } = target;
    if (lapsed.has(id)) return true;
    const graceMs = grace.graceMsOf(target);
    if (graceMs === 0) return false;
    log.info({ target: id, address: target.address, graceMs }, 'target lapsed with the store');
    lapsed.set(id, clock.after(graceMs, () => {
      log.info({ target: id }, 'lapsed target did not return');
      drop(id);
    }));
    dropUnlessReachable(target);
    return true;
  }

  function onChange(row: StoredRow) {
    const target = decode(row);
    const known = targets.byId(row.key);
    if (!target && row.value === undefined && known && outlasts(known)) return;
    log.info({
      target: row.key,
      address: target?.address,
      draining: target?.draining,
      held: target?.held,
      gone: !target,
    }, 'target changed');
    if (!target) {
      drop(row.key);
      return;
    }
    returned(row.key);
    changed.set(row.key, clock.now());
    targets.apply({ id: row.key, target });
  }

  return {
    onRegained: grace.storeRecovered,
    onRows(rows) {
      const listed = rows.flatMap((row) => decode(row) ?? []);
      const ids = new Set(rows.map(({ key }) => key));
      ids.forEach(returned);
      const kept = targets.all.filter((target) => !ids.has(target.id) && outlasts(target));
      targets.reset([...listed, ...kept]);
      [...changed.keys()].filter((id) => !targets.byId(id)).forEach((id) => changed.delete(id));
    },
    onChanges: (rows) => rows.forEach(onChange),
    changedAt: (id) => changed.get(id) ?? -Infinity,
    close() {
      lapsed.forEach((cancel) => cancel());
    },
  };
}
