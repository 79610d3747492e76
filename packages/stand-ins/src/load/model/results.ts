/** Recorder and results of a simulation run. */
import { build, type Histogram } from 'hdr-histogram-js';

/** Histogram values are in units of 10 microseconds. */
const unitsPerMs = 100;
/** Length of one slot of the timeline. */
const timelineSlotMs = 100;

export interface Quantiles {
  p50: number;
  p95: number;
  p99: number;
}

export interface RunResult {
  policy: string;
  tokensPerSecond: number;
  completed: number;
  /** Refused requests by error code. */
  refused: Record<string, number>;
  /** Refused requests by organisation. */
  refusedByOrg: Record<string, number>;
  /** Answers that broke off. */
  interrupted: number;
  /** Milliseconds from arrival to the first token. */
  firstToken: Quantiles;
  /** Milliseconds between consecutive tokens of an answer. */
  tokenGap: Quantiles;
  /** The same for gaps in which a target of the chain was lost, over the whole run. */
  recoveryGap: Quantiles;
  /** Milliseconds from arrival to the first token, by class. */
  firstTokenByClass: Record<string, Quantiles>;
  /** Tokens per second by organisation. */
  orgTokensPerSecond: Record<string, number>;
  /** Longest retry delay sent with a refusal, in milliseconds. */
  maxRetryAfterMs: number;
  /** Tokens per second in each slot of 100 ms from the start of the run, with the warm-up. */
  timeline: number[];
  /**
   * Coefficient of variation of the targets' load (active requests divided by limit), averaged
   * over the load reports.
   */
  loadSpread: number;
}

const createHistogram = () => build({ highestTrackableValue: 100_000_000 });

const quantiles = (histogram: Histogram): Quantiles => {
  const valueAt = (percent: number) => histogram.getValueAtPercentile(percent) / unitsPerMs;
  return { p50: valueAt(50), p95: valueAt(95), p99: valueAt(99) };
};

/** Records events by their virtual time `at`; most outside the measurement are not counted. */
export interface Recorder {
  token(org: string, at: number): void;
  firstToken(cls: string, ms: number, at: number): void;
  gap(ms: number, at: number): void;
  /** Records a gap in which a target was lost. */
  recovery(ms: number): void;
  completed(at: number): void;
  /** An answer broke off; its tokens are subtracted from the throughput. */
  interrupted(org: string, tokens: number): void;
  refused(org: string, code: string, retryAfterMs: number | undefined, at: number): void;
  /** Records the load of all targets, each as active requests divided by limit. */
  loadSpread(loads: readonly number[]): void;
  result(policy: string): RunResult;
}

export function createRecorder(warmUpMs: number, endMs: number): Recorder {
  const firstTokens = createHistogram();
  const byClass = new Map<string, Histogram>();
  const gaps = createHistogram();
  const recovery = createHistogram();
  const refused = new Map<string, number>();
  const refusedByOrg = new Map<string, number>();
  const orgTokens = new Map<string, number>();
  const timeline = Array.from({ length: Math.ceil(endMs / timelineSlotMs) }, () => 0);
  const spreads: number[] = [];
  let completed = 0;
  let interrupted = 0;
  let maxRetryAfterMs = 0;
  const isMeasured = (at: number) => at >= warmUpMs && at < endMs;
  const seconds = (endMs - warmUpMs) / 1000;
  const units = (ms: number) => Math.max(0, Math.round(ms * unitsPerMs));

  return {
    token(org, at) {
      const slot = Math.floor(at / timelineSlotMs);
      if (slot < timeline.length) timeline[slot] = timeline[slot]! + 1000 / timelineSlotMs;
      if (isMeasured(at)) orgTokens.set(org, (orgTokens.get(org) ?? 0) + 1);
    },
    firstToken(cls, ms, at) {
      if (!isMeasured(at)) return;
      firstTokens.recordValue(units(ms));
      const histogram = byClass.get(cls) ?? createHistogram();
      byClass.set(cls, histogram);
      histogram.recordValue(units(ms));
    },
    gap(ms, at) {
      if (isMeasured(at)) gaps.recordValue(units(ms));
    },
    recovery: (ms) => recovery.recordValue(units(ms)),
    completed(at) {
      if (isMeasured(at)) completed += 1;
    },
    interrupted(org, tokens) {
      interrupted += 1;
      orgTokens.set(org, (orgTokens.get(org) ?? 0) - tokens);
    },
    refused(org, code, retryAfterMs, at) {
      if (!isMeasured(at)) return;
      refusedByOrg.set(org, (refusedByOrg.get(org) ?? 0) + 1);
      refused.set(code, (refused.get(code) ?? 0) + 1);
      maxRetryAfterMs = Math.max(maxRetryAfterMs, retryAfterMs ?? 0);
    },
    loadSpread(loads) {
      const mean = loads.reduce((sum, n) => sum + n, 0) / loads.length;
      const variance = loads.reduce((sum, n) => sum + (n - mean) ** 2, 0) / loads.length;
      if (mean > 0) spreads.push(Math.sqrt(variance) / mean);
    },
    result: (policy) => ({
      policy,
      tokensPerSecond: [...orgTokens.values()].reduce((sum, n) => sum + n, 0) / seconds,
      completed,
      refused: Object.fromEntries(refused),
      refusedByOrg: Object.fromEntries(refusedByOrg),
      interrupted,
      firstToken: quantiles(firstTokens),
      tokenGap: quantiles(gaps),
      recoveryGap: quantiles(recovery),
      firstTokenByClass: Object.fromEntries([...byClass].map(([k, h]) => [k, quantiles(h)])),
      orgTokensPerSecond: Object.fromEntries([...orgTokens].map(([k, n]) => [k, n / seconds])),
      maxRetryAfterMs,
      timeline,
      loadSpread: spreads.reduce((sum, s) => sum + s, 0) / Math.max(1, spreads.length),
    }),
  };
}
