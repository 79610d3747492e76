/**
 * Chooses the entry of an availability zone through which the others follow the store, so that the
 * calls to the store grow with the number of zones and not with the number of entries.
 */
import { rendezvousScore } from '@verbenashunt/core';
import type { EntryRecord, RelayAddress } from '../store/entry-rows.js';

export interface RelayChoice {
  node: string;
  zone: string;
  /** Fewest entries of a zone for which one of them serves as relay. */
  minEntries: number;
  /** Whether an entry has recently failed as a relay. */
  isAvoided(node: string): boolean;
}

export interface Relay extends RelayAddress {
  /** VM of the entry. */
  node: string;
}

const byPreference = (a: Relay, b: Relay) => b.capacity - a.capacity
  || rendezvousScore(b.zone, b.node) - rendezvousScore(a.zone, a.node);

/**
 * Returns the relay to use; undefined if this entry calls the store itself. All entries of a zone
 * rank the candidates alike, those with the most capacity first. An entry that ranks before all
 * usable others is the relay.
 */
export function chooseRelay(
  entries: readonly EntryRecord[],
  {
    node, zone, minEntries, isAvoided,
  }: RelayChoice,
): Relay | undefined {
  const candidates = entries.flatMap((entry): Relay[] => (
    entry.relay?.zone === zone && entry.backAt === undefined
      ? [{ node: entry.node, ...entry.relay }]
      : []));
  if (candidates.length < minEntries) return undefined;
  const best = candidates.filter((other) => other.node === node || !isAvoided(other.node))
    .sort(byPreference)[0];
  return best?.node === node ? undefined : best;
}
