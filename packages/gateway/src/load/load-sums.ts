/** Sums of the loads of several entries or zones, updated with each message. */
import type { FailingTargets, ServiceLoads, TargetLoads } from '../generated/relay.js';

/** Load of an entry, or the sum of several. */
export interface Load {
  services: ServiceLoads;
  targets: TargetLoads;
  failing: FailingTargets;
}

export const emptyLoad: Load = { services: {}, targets: {}, failing: {} };

/** Longest time in milliseconds for which a target is avoided after a message about it. */
export const maxAvoidMs = 2000;

interface Member {
  load: Load;
  /** Time at which the load was taken. */
  at: number;
  /** Number of entries in the load. */
  entries: number;
  /** Ends of the times for which targets are avoided. */
  failing: Map<string, number>;
}

export interface LoadSums {
  set(id: string, load: Load, taken: { at: number; now: number; entries: number }): void;
  /** Removes the members whose loads were taken before `since`. */
  dropBefore(since: number): void;
  /** Sum over all members but one, with the number of entries and the time of the oldest load. */
  without(id: string | undefined, now: number): Load & { entries: number; oldestAt: number };
}

type Totals = Map<string, number[]>;

function add(totals: Totals, id: string, values: readonly number[], sign: 1 | -1) {
  const sum = totals.get(id);
  const next = values.map((value, i) => (sum?.[i] ?? 0) + sign * value);
  if (next.some((value) => value > 0)) totals.set(id, next);
  else totals.delete(id);
}

const servicesOf = ({ services }: Load) => Object.entries(services)
  .map(([name, { requests, retries, denied }]) => [name, [requests, retries, denied]] as const);

/** Totals less what one member has in them, without those that are zero. */
function subtract(totals: Totals, part: ReadonlyMap<string, readonly number[]>) {
  return [...totals].map(([id, sum]): [string, number[]] => {
    const own = part.get(id);
    return [id, own ? sum.map((value, i) => value - own[i]!) : sum];
  }).filter(([, sum]) => sum.some((value) => value > 0));
}

export function createLoadSums(): LoadSums {
  const members = new Map<string, Member>();
  const services: Totals = new Map();
  const targets: Totals = new Map();

  function count({ load }: Member, sign: 1 | -1) {
    servicesOf(load).forEach(([name, values]) => add(services, name, values, sign));
    Object.entries(load.targets).forEach(([id, values]) => add(targets, id, values, sign));
  }

  function remove(id: string) {
    const member = members.get(id);
    if (!member) return;
    members.delete(id);
    count(member, -1);
  }

  function failingWithout(id: string | undefined, now: number): FailingTargets {
    const ends = new Map<string, number>();
    [...members].filter(([other]) => other !== id)
      .flatMap(([, { failing }]) => [...failing])
      .forEach(([target, end]) => ends.set(target, Math.max(end, ends.get(target) ?? 0)));
    return Object.fromEntries([...ends].filter(([, end]) => end > now)
      .map(([target, end]) => [target, Math.round(end - now)]));
  }

  return {
    set(id, load, { at, now, entries }) {
      remove(id);
      const failing = new Map(Object.entries(load.failing)
        .map(([target, leftMs]) => [target, now + Math.min(maxAvoidMs, leftMs)]));
      const member = {
        load, at, entries, failing,
      };
      members.set(id, member);
      count(member, 1);
    },
    dropBefore(since) {
      [...members].filter(([, { at }]) => at < since).forEach(([id]) => remove(id));
    },
    without(id, now) {
      const own = (id !== undefined && members.get(id)?.load) || emptyLoad;
      const others = [...members].filter(([other]) => other !== id).map(([, member]) => member);
      const ownServices = new Map(servicesOf(own));
      return {
        services: Object.fromEntries(subtract(services, ownServices)
          .map(([name, [requests, retries, denied]]) => [name, {
            requests: requests!, retries: retries!, denied: denied!,
          }])),
        targets: Object.fromEntries(subtract(targets, new Map(Object.entries(own.targets)))),
        failing: failingWithout(id, now),
        entries: others.reduce((sum, { entries }) => sum + entries, 0),
        oldestAt: Math.min(now, ...others.map(({ at }) => at)),
      };
    },
  };
}
