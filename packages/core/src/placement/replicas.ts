/**
 * Replicas: hosts that hold a range which another host already holds. Requests that start at the
 * same target are batched together, so several targets with the first layers keep batches small,
 * and the loss of one interrupts fewer streams. Replicas of any range also serve to fill gaps.
 */
import type { EngineModel } from '../serving/config.js';
import type { PlacedRange } from './chain-layout.js';
import {
  rangeHolderCount, isHolder, hostKvTokens, holderKvTokens, rangeKvTokens, type Holder,
} from './holders.js';
import {
  byMemory, chainKvTokens, countLayers, wantedKvTokens, type LayerHost, type LayerRange,
} from './hosts.js';

/**
 * Hosts, replicas included, that should hold the first layers of a chain, those not counted that
 * limit their rate: streams that start at these are few.
 */
const wantedFirstHolders = 4;
/** Most hosts that hold the first layers, however many of them limit their rate. */
const maxFirstHolders = 2 * wantedFirstHolders;
/**
 * A replica must have KV cache for this share of the tokens of the host that it replicates, or for
 * `wantedKvTokens` if that is less.
 */
const replicaKvShare = 0.5;
/** Largest share of the hosts that may be reserved for replicas. */
const maxReplicaHostShare = 0.4;

/** Hosts that form a chain, and hosts that replicate ranges of the chain. */
export interface ChainAndReplicas {
  chain: LayerHost[];
  replicas: LayerHost[];
}

/**
 * Reserves as many of the smallest hosts for replicas as possible while a chain of the others
 * still has `wantedKvTokens`.
 */
export function reserveReplicaHosts(
  engine: EngineModel,
  hosts: readonly LayerHost[],
): ChainAndReplicas {
  const sorted = [...hosts].sort(byMemory);
  const maxCount = Math.floor(sorted.length * maxReplicaHostShare);
  const counts = Array.from({ length: maxCount }, (_, i) => maxCount - i);
  const count = counts.find((n) => chainKvTokens(engine, sorted.slice(0, -n))
    >= wantedKvTokens(engine)) ?? 0;
  const split = sorted.length - count;
  return { chain: sorted.slice(0, split), replicas: sorted.slice(split) };
}

/** Holders of the first layers of the model. */
const firstHolders = (holders: readonly Holder[]) => holders.filter(({ held }) => held.lo === 0);

function needsFirstHolder(holders: readonly Holder[]): boolean {
  const first = firstHolders(holders);
  return first.length < maxFirstHolders
    && first.filter(({ isLimited }) => !isLimited).length < wantedFirstHolders;
}

/**
 * The range that a host is to replicate: the first layers while too few hosts hold them, then the
 * range with the fewest holders and, among equals, the fewest KV tokens. Undefined if none fits.
 */
function chooseReplicaRange(
  engine: EngineModel,
  holders: readonly Holder[],
  host: LayerHost,
): LayerRange | undefined {
  const requiredKvTokens = (holder: Holder) => Math
    .min(wantedKvTokens(engine), replicaKvShare * holderKvTokens(engine, holder));
  const fitting = holders.filter((holder) => hostKvTokens(engine, host, countLayers(holder.held))
    >= requiredKvTokens(holder));
  const first = firstHolders(fitting);
  if (first.length > 0 && needsFirstHolder(holders)) return first[0]!.held;
  const [neediest] = fitting.map(({ held }) => ({
    held, holders: rangeHolderCount(holders, held), kvTokens: rangeKvTokens(engine, holders, held),
  })).sort((a, b) => a.holders - b.holders || a.kvTokens - b.kvTokens);
  return neediest?.held;
}

/** Ranges for all hosts that hold nothing; each choice counts the replicas chosen before it. */
export const planReplicas = (
  engine: EngineModel,
  group: readonly LayerHost[],
): PlacedRange[] => group
  .filter((host) => !isHolder(host))
  .reduce((holders, host) => {
    const held = chooseReplicaRange(engine, holders, host);
    return held ? [...holders, { ...host, held }] : holders;
  }, group.filter(isHolder))
  .map(({ id, held }) => ({ id, ...held }));
