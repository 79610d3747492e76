/**
 * Finds capacity for requests that no target has accepted yet. One more stream at an overloaded
 * target would make all other streams there late too.
 */
import type { Clock, RefusalCode } from '@verbenashunt/core';
import type { TargetProgress } from '../requests/progress.js';
import type { RequestSpec } from '../requests/spec.js';
import type { Choice, Selector } from './selector.js';

export interface CapacityDeps {
  clock: Clock;
  selector: Selector;
  progress: TargetProgress;
}

/**
 * - `free`: the request can be sent to these targets now.
 * - `busy`: it has to wait; targets are too busy for the stated reason.
 * - `none`: there is no target, and waiting is not expected to help.
 */
export type Capacity = { state: 'free'; choice: Choice }
  | { state: 'busy'; reason: string }
  | { state: 'none'; code: RefusalCode; reason: string };

export interface CapacityQuery {
  spec: RequestSpec;
  /** Ids of targets that must not be chosen. */
  avoid: ReadonlySet<string>;
  /** Time that the request has waited so far, in milliseconds. */
  waitedMs: number;
}

function noTarget({ service }: RequestSpec, selector: Selector): Capacity {
  if (selector.allClosedMs(service.name) > 0) {
    return { state: 'none', code: 'overloaded', reason: 'no target takes a request now' };
  }
  return { state: 'none', code: service.engine ? 'no_chain' : 'no_target', reason: 'no target' };
}

function isOnTime({ spec, waitedMs }: CapacityQuery, id: string, deps: CapacityDeps): boolean {
  const { objectiveMs, maxPauseMs } = spec.route;
  return deps.progress
    .isOnTime(id, deps.clock.now(), { objectiveMs: objectiveMs - waitedMs, maxPauseMs });
}

/** Why a stream would be late or refused on the targets of a choice; undefined if it would not. */
function whyBusy(query: CapacityQuery, choice: Choice, deps: CapacityDeps): string | undefined {
  if (!isOnTime(query, choice.target.id, deps)) return 'no chain is on time';
  return deps.selector.hasFreeKvMemory(query.spec, choice)
    ? undefined
    : 'no chain has free KV memory';
}

/**
 * Chooses a chain with capacity. If the first choice has none, one chain without it and all late
 * targets is tried, within one zone; each choice takes CPU time.
 */
function findChain(query: CapacityQuery, deps: CapacityDeps): Capacity {
  const { spec, avoid } = query;
  const { selector } = deps;
  const first = selector.choose(spec, avoid);
  if (!first) return noTarget(spec, selector);
  const reason = whyBusy(query, first, deps);
  if (reason === undefined) return { state: 'free', choice: first };
  const late = selector.firstTargetIds(spec.service.name)
    .filter((id) => !isOnTime(query, id, deps));
  const other = selector.choose(spec, new Set([...avoid, ...late, first.target.id]));
  return other && selector.isInSingleZone(other) && whyBusy(query, other, deps) === undefined
    ? { state: 'free', choice: other }
    : { state: 'busy', reason };
}

/** Finds targets that can serve the request in time. */
export function findCapacity(query: CapacityQuery, deps: CapacityDeps): Capacity {
  const { spec, avoid } = query;
  const { selector } = deps;
  if (spec.service.engine) return findChain(query, deps);
  if (selector.areSlotsInUse(spec.service.name)) return { state: 'busy', reason: 'all slots are in use' };
  const choice = selector.choose(spec, avoid);
  return choice ? { state: 'free', choice } : noTarget(spec, selector);
}
