/** Seeded schedule of an open-loop load: requests do not wait for earlier answers. */
import { createRandom, exponential } from '../model/random.js';

/** Requests of one organisation and kind, with Poisson arrivals. */
export interface LoadStream {
  org: string;
  /** API key of the organisation. */
  key: string;
  kind: 'chat' | 'lookup';
  requestsPerSecond: number;
  /** Mean prompt length in bytes; a byte is a token of the stand-in model. */
  promptTokens: number;
  /** Mean of the limit on answer tokens. */
  maxTokens: number;
  model: string;
  /** Request path of a lookup. */
  path: string;
}

export interface Arrival {
  /** Milliseconds from the start of the load. */
  atMs: number;
  stream: LoadStream;
  promptTokens: number;
  maxTokens: number;
}

const millisecondsPerSecond = 1000;
/** Lengths vary uniformly from this factor of the mean to this factor plus one. */
const minLengthFactor = 0.5;

function arrivalsOf(stream: LoadStream, durationMs: number, seed: number): Arrival[] {
  const random = createRandom(seed);
  const meanMs = millisecondsPerSecond / stream.requestsPerSecond;
  const arrivals: Arrival[] = [];
  for (let atMs = exponential(random, meanMs); atMs < durationMs;
    atMs += exponential(random, meanMs)) {
    const factor = minLengthFactor + random();
    arrivals.push({
      atMs,
      stream,
      promptTokens: Math.max(1, Math.round(stream.promptTokens * factor)),
      maxTokens: Math.max(1, Math.round(stream.maxTokens * factor)),
    });
  }
  return arrivals;
}

/** Arrivals of all streams by time; the same seed gives the same schedule. */
export const scheduleOf = (
  streams: readonly LoadStream[],
  durationMs: number,
  seed: number,
): Arrival[] => streams
  .flatMap((stream, i) => arrivalsOf(stream, durationMs, seed * 10_000 + i))
  .sort((a, b) => a.atMs - b.atMs);
