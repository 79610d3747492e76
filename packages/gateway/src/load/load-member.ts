/**
 * A member's side of the load exchange: reports this entry's load to keepers, and keeps the sums
 * over all other entries that its own zone's keeper answers.
 */
import type { Clock, RetryWindow } from '@verbenashunt/core';
import type {
  FailingTargets, KeeperStamp, LoadAnswer, LoadReport, ServiceLoads, TargetLoads,
} from '../generated/relay.js';
import { maxAvoidMs } from './load-sums.js';

export interface LoadMemberDeps {
  clock: Clock;
  node: string;
  /** Start of this process in milliseconds since the Unix epoch. */
  start: number;
  /** Retry budget of each service. */
  retries(): Iterable<readonly [string, RetryWindow]>;
  /** This entry's requests and tokens in flight. */
  targets(): TargetLoads;
  /** Targets that this entry found failing. */
  failing(): FailingTargets;
}

/** What this entry knows of the loads of all others. */
export interface OtherLoads {
  /** The others' requests in flight at a target; undefined without fresh sums. */
  requestsAt(id: string): number | undefined;
  /** The others' tokens in flight at a target; undefined without fresh sums. */
  tokensAt(id: string): number | undefined;
  /** Whether another entry found the target failing a short time ago. */
  isFailingElsewhere(id: string): boolean;
}

export interface LoadMember extends OtherLoads {
  /** A report for the keeper of this entry's zone. */
  report(keeper: string): LoadReport;
  /** A report that asks for retries alone; only the keeper of this entry's zone is lent some. */
  reportRetries(keeper: string, isOwnZone: boolean): LoadReport;
  /** Takes over an answer; `askedAt` is when the report was made. */
  accept(keeper: string, answer: LoadAnswer, askedAt: number, hasSums: boolean): void;
  /** Number of other entries in the sums; 0 without fresh sums. */
  heard(): number;
  /** Age in milliseconds of the oldest load in the sums; Infinity before the first sums. */
  ageMs(): number;
  /** Whether the sums are fresh enough to be used. */
  isFresh(): boolean;
}

/** Time in milliseconds after the request for sums from which they are no longer used. */
export const maxSumsAgeMs = 1500;

export function createLoadMember(deps: LoadMemberDeps): LoadMember {
  const { clock, node, start } = deps;
  const stamps = new Map<string, KeeperStamp>();
  let seq = 0;
  let sums: Pick<LoadAnswer, 'entries' | 'ageMs' | 'targets'> = { entries: 0, ageMs: 0, targets: {} };
  /** When the newest sums were asked for. */
  let sumsAt = -Infinity;
  /** End of the time for which others avoid a target. */
  let avoidedUntil = new Map<string, number>();

  const processOf = (keeper: string, stamp: KeeperStamp) => `${keeper}/${stamp.start}`;

  function serviceLoads(keeper: string, mayLend: boolean): ServiceLoads {
    const stamp = stamps.get(keeper);
    // Grants belong to one process of the keeper, which only its answers identify.
    const bank = stamp ? processOf(keeper, stamp) : '';
    const loads = [...deps.retries()].map(([name, window]) => {
      const report = window.report(bank, mayLend && stamp !== undefined);
      return [name, { ...window.counts(), ...report }] as const;
    });
    return Object.fromEntries(loads.filter(([, load]) => Object.values(load).some((n) => n > 0)));
  }

  function header(keeper: string) {
    seq += 1;
    const stamp = stamps.get(keeper);
    return {
      node, start, seq, ...stamp && { stamp },
    };
  }

  const isFresh = () => clock.now() - sumsAt <= maxSumsAgeMs;

  /** Value of a target in the sums; 0 if it isn't in them, undefined without fresh sums. */
  const sumAt = (id: string, index: 0 | 1) => (
    isFresh() ? (Object.hasOwn(sums.targets, id) && sums.targets[id]![index]) || 0 : undefined);

  return {
    report: (keeper) => ({
      ...header(keeper),
      services: serviceLoads(keeper, true),
      targets: deps.targets(),
      failing: deps.failing(),
    }),
    reportRetries: (keeper, isOwnZone) => ({
      ...header(keeper),
      grantsOnly: true,
      services: serviceLoads(keeper, isOwnZone),
      targets: {},
      failing: {},
    }),
    accept(keeper, answer, askedAt, hasSums) {
      stamps.set(keeper, answer.stamp);
      const bank = processOf(keeper, answer.stamp);
      [...deps.retries()].forEach(([name, window]) => {
        const load = Object.hasOwn(answer.services, name) ? answer.services[name] : undefined;
        window.grant(bank, load?.granted ?? 0, askedAt);
      });
      if (!hasSums) return;
      sums = answer;
      sumsAt = askedAt;
      avoidedUntil = new Map(Object.entries(answer.failing)
        .map(([id, leftMs]) => [id, clock.now() + Math.min(maxAvoidMs, leftMs)]));
    },
    heard: () => (isFresh() ? sums.entries : 0),
    ageMs: () => clock.now() - sumsAt + sums.ageMs,
    isFresh,
    requestsAt: (id) => sumAt(id, 0),
    tokensAt: (id) => sumAt(id, 1),
    isFailingElsewhere: (id) => (avoidedUntil.get(id) ?? -Infinity) > clock.now(),
  };
}
