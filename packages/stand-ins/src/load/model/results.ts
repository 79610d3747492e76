/** What a run measures. */
import { build, type Histogram } from 'hdr-histogram-js';

/** Histograms hold units of ten microseconds. */
const unitsPerMs = 100;
const timelineMs = 100;

export interface Quantiles {
  p50: number;
  p95: number;
  p99: number;
}

export interface RunResult {
  policy: string;
  tokensPerSecond: number;
  completed: number;
  refused: Record<string, number>;
  /** Refused requests by organisation. */
  refusedByOrg: Record<string, number>;
  interrupted: number;
  /** Milliseconds from arrival to the first token. */
  firstToken: Quantiles;
  /** Milliseconds between tokens. */
  tokenGap: Quantiles;
  /** Milliseconds without a token where a stage was lost. */
  recoveryGap: Quantiles;
  /** Milliseconds from arrival to the first token, by class. */
  firstTokenByClass: Record<string, Quantiles>;
  /** Tokens per second by organisation. */
  orgTokensPerSecond: Record<string, number>;
  /** Longest Retry-After of a refusal in milliseconds. */
  maxRetryAfterMs: number;
  /** Tokens per second in each tenth of a second from the start. */
  timeline: number[];
  /** Coefficient of variation of the targets' active requests, sampled at reports. */
  loadSpread: number;
}

const createHistogram = () => build({ highestTrackableValue: 100_000_000 });

const quantiles = (histogram: Histogram): Quantiles => {
  const at = (percent: number) => histogram.getValueAtPercentile(percent) / unitsPerMs;
  return { p50: at(50), p95: at(95), p99: at(99) };
};

export interface Recorder {
  token(org: string, at: number): void;
  firstToken(cls: string, ms: number, at: number): void;
  gap(ms: number, at: number): void;
  recovery(ms: number): void;
  completed(at: number): void;
  /** An answer broke off; its tokens do not count. */
  interrupted(org: string, tokens: number): void;
  refused(org: string, code: string, retryAfterMs: number | undefined, at: number): void;
  spread(actives: readonly number[]): void;
  result(policy: string): RunResult;
}

export function createRecorder(warmUpMs: number, endMs: number): Recorder {
  const first = createHistogram();
  const byClass = new Map<string, Histogram>();
  const gaps = createHistogram();
  const recovery = createHistogram();
  const refused = new Map<string, number>();
  const refusedByOrg = new Map<string, number>();
  const orgTokens = new Map<string, number>();
  const timeline = Array.from({ length: Math.ceil(endMs / timelineMs) }, () => 0);
  const spreads: number[] = [];
  let completed = 0;
  let interrupted = 0;
  let maxRetryAfterMs = 0;
  const counts = (at: number) => at >= warmUpMs && at < endMs;
  const seconds = (endMs - warmUpMs) / 1000;
  const units = (ms: number) => Math.max(0, Math.round(ms * unitsPerMs));

  return {
    token(org, at) {
      const slot = Math.floor(at / timelineMs);
      if (slot < timeline.length) timeline[slot] = timeline[slot]! + 1000 / timelineMs;
      if (counts(at)) orgTokens.set(org, (orgTokens.get(org) ?? 0) + 1);
    },
    firstToken(cls, ms, at) {
      if (!counts(at)) return;
      first.recordValue(units(ms));
      const histogram = byClass.get(cls) ?? createHistogram();
      byClass.set(cls, histogram);
      histogram.recordValue(units(ms));
    },
    gap(ms, at) {
      if (counts(at)) gaps.recordValue(units(ms));
    },
    recovery: (ms) => recovery.recordValue(units(ms)),
    completed(at) {
      if (counts(at)) completed += 1;
    },
    interrupted(org, tokens) {
      interrupted += 1;
      orgTokens.set(org, (orgTokens.get(org) ?? 0) - tokens);
    },
    refused(org, code, retryAfterMs, at) {
      if (!counts(at)) return;
      refusedByOrg.set(org, (refusedByOrg.get(org) ?? 0) + 1);
      refused.set(code, (refused.get(code) ?? 0) + 1);
      maxRetryAfterMs = Math.max(maxRetryAfterMs, retryAfterMs ?? 0);
    },
    spread(actives) {
      const mean = actives.reduce((sum, n) => sum + n, 0) / actives.length;
      const variance = actives.reduce((sum, n) => sum + (n - mean) ** 2, 0) / actives.length;
      if (mean > 0) spreads.push(Math.sqrt(variance) / mean);
    },
    result: (policy) => ({
      policy,
      tokensPerSecond: [...orgTokens.values()].reduce((sum, n) => sum + n, 0) / seconds,
      completed,
      refused: Object.fromEntries(refused),
      refusedByOrg: Object.fromEntries(refusedByOrg),
      interrupted,
      firstToken: quantiles(first),
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
