/** Watches a stream for silence, by itself and with the others of its chain. */
import type { Choice } from '../routing/selector.js';
import type { ChainWatch } from './chain-watch.js';
import type { StreamProgress } from './progress.js';
import { quietLimitMs } from './silence.js';
import type { RequestSpec } from './spec.js';
import type { StallWatch } from './stall-watch.js';

export interface StreamWatchDeps {
  stalls: StallWatch;
  chains: ChainWatch;
}

/** A stream that is sent to a chain. */
export interface SentStream {
  spec: RequestSpec;
  /** The chain in use. */
  choice(): Choice;
  progress: StreamProgress;
  /** Its caller had a part of it when it was sent. */
  isDelivered: boolean;
  /** Time of its last event, or since when it may be expected, on the entry's clock. */
  quietSince(): number;
  /** It waits for the target at an address. */
  stalledBy(address: string): void;
  /** It has been silent for this time, and its first target tells no reason. */
  silentFor(ms: number): void;
  /** Its first target doesn't answer any more. */
  lost(): void;
}

/** Returns the function that ends the watch. */
export function watchStream(stream: SentStream, { stalls, chains }: StreamWatchDeps): () => void {
  const { spec, progress } = stream;
  const cancelChain = chains.watch({
    parts: () => stream.choice().parts,
    heardAt: () => (progress.hasBegun ? stream.quietSince() : undefined),
    gapMs: () => progress.gapMs,
    stalledBy: stream.stalledBy,
  });
  const cancelStall = stalls.watch({
    requestId: spec.caller.id,
    target: stream.choice().target,
    quietSince: stream.quietSince,
    maxQuietMs: quietLimitMs(spec.route, stream.isDelivered),
    stalledBy: stream.stalledBy,
    silentFor: stream.silentFor,
    lost: stream.lost,
  });
  return () => {
    cancelChain();
    cancelStall();
  };
}
