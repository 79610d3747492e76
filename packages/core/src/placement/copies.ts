/**
 * Second holders of a range. Requests that begin at one target are stepped together: with several
 * targets that hold the first layers, batches are smaller, and the loss of one of them breaks off
 * fewer streams. Copies of any range are also what holes are closed with.
 */
import type { EngineModel } from '../serving/config.js';
import type { PlacedRange } from './chain-layout.js';
import {
  holdersOver, isHolder, kvBeside, kvOfHolder, kvTokensOver, type Holder,
} from './holders.js';
import {
  byMemory, layoutKvTokens, lengthOf, wantedKvTokens, type LayerHost, type LayerRange,
} from './hosts.js';

/** Targets of a chain that hold its first layers. */
const wantedFirsts = 4;
/** Share of the KV cache of a range that is enough for its copy, where it is less than wanted. */
const copyShare = 0.5;
/** Share of a group's hosts that may be set aside for copies. */
const maxCopyShare = 0.4;

/** Hosts that are laid end to end, and those that copy ranges of these. */
export interface ChainAndCopies {
  chain: LayerHost[];
  copies: LayerHost[];
}

/** Sets as many of the smallest hosts aside as leave a chain of the others enough KV cache. */
export function setCopiesAside(engine: EngineModel, hosts: readonly LayerHost[]): ChainAndCopies {
  const sorted = [...hosts].sort(byMemory);
  const most = Math.floor(sorted.length * maxCopyShare);
  const counts = Array.from({ length: most }, (_, i) => most - i);
  const count = counts.find((n) => layoutKvTokens(engine, sorted.slice(0, -n))
    >= wantedKvTokens(engine)) ?? 0;
  const split = sorted.length - count;
  return { chain: sorted.slice(0, split), copies: sorted.slice(split) };
}

const firstsOf = (holders: readonly Holder[]) => holders.filter(({ held }) => held.lo === 0);

/** The range that a host does most for as its copy; undefined where it has room for none. */
function rangeFor(
  engine: EngineModel,
  holders: readonly Holder[],
  host: LayerHost,
): LayerRange | undefined {
  const enoughFor = (holder: Holder) => Math
    .min(wantedKvTokens(engine), copyShare * kvOfHolder(engine, holder));
  const fitting = holders.filter((holder) => kvBeside(engine, host, lengthOf(holder.held))
    >= enoughFor(holder));
  const firsts = firstsOf(fitting);
  if (firsts.length > 0 && firstsOf(holders).length < wantedFirsts) return firsts[0]!.held;
  const [weakest] = fitting.map(({ held }) => ({
    held, holders: holdersOver(holders, held), kvTokens: kvTokensOver(engine, holders, held),
  })).sort((a, b) => a.holders - b.holders || a.kvTokens - b.kvTokens);
  return weakest?.held;
}

/** Copies for all hosts that hold nothing, each counted before the next is chosen. */
export const copiesFor = (engine: EngineModel, group: readonly LayerHost[]): PlacedRange[] => group
  .filter((host) => !isHolder(host))
  .reduce((holders, host) => {
    const held = rangeFor(engine, holders, host);
    return held ? [...holders, { ...host, held }] : holders;
  }, group.filter(isHolder))
  .map(({ id, held }) => ({ id, ...held }));
