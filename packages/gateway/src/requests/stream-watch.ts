/** Watches a stream for silence, on its own and together with the other streams of its chain. */
import type { Choice } from '../routing/selector.js';
import type { ChainWatch } from './chain-watch.js';
import type { StreamProgress } from './progress.js';
import { inspectAfterMs } from './silence.js';
import type { RequestSpec } from './spec.js';
import type { StallWatch } from './stall-watch.js';

export interface StreamWatchDeps {
  stallWatch: StallWatch;
  chainWatch: ChainWatch;
}

/** A stream that was sent to a chain. */
export interface SentStream {
  spec: RequestSpec;
  /** The chain in use. */
  choice(): Choice;
  progress: StreamProgress;
  /** Whether its caller had received a part of it before this attempt. */
  isDelivered: boolean;
  /** Returns the time of its last event, or since when one is expected, on the entry's clock. */
  quietSince(): number;
  /** Called when it waits for the target at an address. */
  stalledBy(address: string): void;
  /** Called with the length of its silence when its first target reports no stall for it. */
  silentFor(ms: number): void;
  /** Called when its first target no longer gives reports. */
  lost(): void;
}

/** Returns a function that stops watching. */
export function watchStream(
  stream: SentStream,
  { stallWatch, chainWatch }: StreamWatchDeps,
): () => void {
  const { spec, progress } = stream;
  const cancelChain = chainWatch.watch({
    parts: () => stream.choice().parts,
    lastEventAt: () => (progress.hasStarted ? stream.quietSince() : undefined),
    gapMs: () => progress.gapMs,
    stalledBy: stream.stalledBy,
  });
  const cancelStall = stallWatch.watch({
    requestId: spec.caller.id,
    target: stream.choice().target,
    quietSince: stream.quietSince,
    maxQuietMs: inspectAfterMs(spec.route, stream.isDelivered),
    stalledBy: stream.stalledBy,
    silentFor: stream.silentFor,
    lost: stream.lost,
  });
  return () => {
    cancelChain();
    cancelStall();
  };
}
