/** Measures one request: time to the first token, time between tokens, and the outcome. */
import type { Clock } from '@verbenashunt/core';
import type { EntryMetrics, RequestLabels } from '../metrics.js';
import type { GenerationSink } from '../requests/generation.js';

const millisecondsPerSecond = 1000;

export interface RequestMeter {
  /** Records the time since the previous token, or since the request arrived. */
  token(): void;
  /** Records the outcome and total duration; only the first call has an effect. */
  finish(outcome: string): void;
  /** The connection closed; this is the outcome if there was none before. */
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

/** Wraps the sink of a generation so that its tokens and outcome are measured. */
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
