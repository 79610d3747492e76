/** Seeded arrivals of an open-loop load: requests are sent when due, whatever the answers do. */
import { createRandom, exponential } from '../model/random.js';

/** One organisation's requests of one kind. */
export interface LoadStream {
  org: string;
  key: string;
  kind: 'chat' | 'lookup';
  requestsPerSecond: number;
  /** Length of the message in bytes, which are tokens of the stand-in model. */
  promptTokens: number;
  maxTokens: number;
  model: string;
  /** Path of a lookup. */
  path: string;
}

export interface Arrival {
  /** Milliseconds from the start. */
  atMs: number;
  stream: LoadStream;
  promptTokens: number;
  maxTokens: number;
}

const millisecondsPerSecond = 1000;
const leastLengthShare = 0.5;

function arrivalsOf(stream: LoadStream, durationMs: number, seed: number): Arrival[] {
  const random = createRandom(seed);
  const meanMs = millisecondsPerSecond / stream.requestsPerSecond;
  const arrivals: Arrival[] = [];
  for (let atMs = exponential(random, meanMs); atMs < durationMs;
    atMs += exponential(random, meanMs)) {
    const factor = leastLengthShare + random();
    arrivals.push({
      atMs,
      stream,
      promptTokens: Math.max(1, Math.round(stream.promptTokens * factor)),
      maxTokens: Math.max(1, Math.round(stream.maxTokens * factor)),
    });
  }
  return arrivals;
}

/** All arrivals in order of time; the same seed gives the same schedule. */
export const scheduleOf = (
  streams: readonly LoadStream[],
  durationMs: number,
  seed: number,
): Arrival[] => streams
  .flatMap((stream, i) => arrivalsOf(stream, durationMs, seed * 10_000 + i))
  .sort((a, b) => a.atMs - b.atMs);
