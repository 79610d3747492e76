/** Runs an open-loop load against entries. */
import { createLoadClient, type Sample } from './client.js';
import { scheduleOf, type LoadStream } from './schedule.js';
import { summarise, type LoadSummary } from './summary.js';

export interface LoadSpec {
  /** URLs of the entries. */
  entries: readonly string[];
  streams: readonly LoadStream[];
  durationMs: number;
  seed: number;
}

/** Sends each request at its scheduled time, to the entries in turn; waits for all answers. */
export async function runLoad(spec: LoadSpec): Promise<LoadSummary> {
  const startedAt = performance.now();
  const client = createLoadClient(startedAt);
  const arrivals = scheduleOf(spec.streams, spec.durationMs, spec.seed);
  const samples = await Promise.all(arrivals.map((arrival, i) => new Promise<Sample>((resolve) => {
    const entry = spec.entries[i % spec.entries.length]!;
    const waitMs = arrival.atMs - (performance.now() - startedAt);
    setTimeout(() => resolve(client.send(entry, arrival)), Math.max(0, waitMs));
  })));
  await client.close();
  return summarise(samples, spec.seed, spec.durationMs);
}
