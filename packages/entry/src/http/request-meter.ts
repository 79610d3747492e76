/** Measures one request on its way: first token, gaps between tokens, and its one outcome. */
import type { Clock } from '@verbenashunt/core';
import type { EntryMetrics, RequestLabels } from '../metrics.js';
import type { GenerationSink } from '../requests/generation.js';

const millisecondsPerSecond = 1000;

export interface RequestMeter {
  token(): void;
  /** Counts the outcome; later ones of the same request are ignored. */
  finish(outcome: string): void;
  /** The caller closed its connection before the answer was whole. */
  callerDisconnected(): void;
}

export function createRequestMeter(
  metrics: EntryMetrics,
  clock: Clock,
  labels: RequestLabels,
): RequestMeter {
  const startedAt = clock.now();
  let lastAt: number | undefined;
  let finished = false;

  function finish(outcome: string) {
    if (finished) return;
    finished = true;
    metrics.recordOutcome(labels, outcome, (clock.now() - startedAt) / millisecondsPerSecond);
  }

  return {
    token() {
      const now = clock.now();
      const seconds = (now - (lastAt ?? startedAt)) / millisecondsPerSecond;
      if (lastAt === undefined) metrics.observeFirstToken(labels, seconds);
      else metrics.observeTokenGap(labels, seconds);
      lastAt = now;
    },
    finish,
    callerDisconnected: () => finish('caller_gone'),
  };
}

/** Passes a generation on to its caller and measures it. */
export const createMeteredSink = (sink: GenerationSink, meter: RequestMeter): GenerationSink => ({
  token(token) {
    meter.token();
    sink.token(token);
  },
  end(reason) {
    meter.finish('completed');
    sink.end(reason);
  },
  refuse(refusal) {
    meter.finish(refusal.code);
    sink.refuse(refusal);
  },
});
