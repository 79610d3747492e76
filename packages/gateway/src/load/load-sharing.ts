/** Loads, failures and retry budgets that this entry shares with the others. */
import type { Logger } from 'pino';
import { lockMs, type Clock, type RetryWindow } from '@verbenashunt/core';
import type { Exchanger } from '@verbenashunt/wire';
import type { FailingTargets, TargetLoads } from '../generated/relay.js';
import type { LoadMetrics } from '../metrics.js';
import type { EntryRecord } from '../store/entry-rows.js';
import { createLoadExchange, type LoadExchange } from './load-exchange.js';
import { createLoadKeeper } from './load-keeper.js';
import { createLoadMember, type LoadMember } from './load-member.js';
import type { LoadReceiver } from './load-server.js';

export interface LoadSharingOptions {
  node: string;
  zone: string;
}

export interface LoadSharingDeps {
  clock: Clock;
  random: () => number;
  log: Logger;
  exchanger: Exchanger;
  metrics: LoadMetrics;
  entries(): readonly EntryRecord[];
  /** Length of the window of the retry budget in milliseconds. */
  windowMs(): number;
  /** Whether entries lend each other unused retries. */
  isLending(): boolean;
  /** Retry budget of each service. */
  retries(): readonly (readonly [string, RetryWindow])[];
  targets(): TargetLoads;
  failing(): FailingTargets;
}

export interface LoadSharing extends LoadReceiver, Pick<LoadExchange, 'pressed' | 'close'> {
  member: LoadMember;
}

export function createLoadSharing(
  { node, zone }: LoadSharingOptions,
  deps: LoadSharingDeps,
): LoadSharing {
  const { clock, metrics, entries } = deps;
  const own = { clock, node, start: Math.floor(clock.wall()) };
  const member = createLoadMember({ ...own, ...deps });
  const keeper = createLoadKeeper({
    ...own,
    zone,
    windowMs: deps.windowMs,
    isKnown: (other) => entries().some((entry) => entry.node === other),
    dropped: metrics.dropped,
  });
  const exchange = createLoadExchange({
    ...deps,
    node,
    zone,
    member,
    keeper,
    isScarce: () => deps.isLending() && deps.retries().some(([, window]) => window.isScarce()),
    exchanged: metrics.exchanged,
  });
  return {
    member,
    keeper,
    received: metrics.received,
    dropped: metrics.dropped,
    pressed: exchange.pressed,
    close: exchange.close,
  };
}

/**
 * Whether an earlier process of this entry may have used or lent retries that still count. An entry
 * whose row did not exist before has none.
 */
export const mayHavePredecessor = (
  { hadRow, ageMs }: { hadRow: boolean; ageMs: number },
  windowMs: number,
) => hadRow && ageMs < windowMs + lockMs;
