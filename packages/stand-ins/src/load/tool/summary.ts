/** Results of a load: histograms by organisation and kind, and a timeline. */
import { build, type Histogram } from 'hdr-histogram-js';
import type { Sample } from './client.js';

const unitsPerMs = 100;
const slotMs = 250;

export interface Quantiles {
  p50: number;
  p95: number;
  p99: number;
  max: number;
}

export interface GroupSummary {
  org: string;
  kind: string;
  sent: number;
  outcomes: Record<string, number>;
  tokensPerSecond: number;
  firstMs: Quantiles;
  gapMs: Quantiles;
}

export interface LoadSummary {
  seed: number;
  durationMs: number;
  sent: number;
  outcomes: Record<string, number>;
  /** Tokens of whole answers per second. */
  goodput: number;
  firstMs: Quantiles;
  gapMs: Quantiles;
  /** Milliseconds to a refusal. */
  refusalMs: Quantiles;
  /** Refusals that may be retried and carried no Retry-After. */
  refusalsWithoutRetryAfter: number;
  groups: GroupSummary[];
  /** Tokens per second of whole answers by the time of their end. */
  timeline: { slotMs: number; tokensPerSecond: number[] };
}

function quantilesOf(values: readonly number[]): Quantiles {
  const histogram: Histogram = build({ highestTrackableValue: 100_000_000 });
  values.forEach((ms) => histogram.recordValue(Math.max(0, Math.round(ms * unitsPerMs))));
  const at = (percent: number) => histogram.getValueAtPercentile(percent) / unitsPerMs;
  return {
    p50: at(50), p95: at(95), p99: at(99), max: histogram.maxValue / unitsPerMs,
  };
}

const countBy = (samples: readonly Sample[]) => samples
  .reduce<Record<string, number>>((counts, { outcome }) => ({
    ...counts, [outcome]: (counts[outcome] ?? 0) + 1,
  }), {});

const whole = (samples: readonly Sample[]) => samples.filter(({ outcome }) => outcome === 'completed');
const tokensOf = (samples: readonly Sample[]) => samples
  .reduce((sum, { tokens }) => sum + tokens, 0);

function timelineOf(samples: readonly Sample[], durationMs: number) {
  const slots = Array.from({ length: Math.ceil(durationMs / slotMs) }, () => 0);
  samples.forEach(({ dueMs, endMs, tokens }) => {
    const slot = Math.floor((dueMs + endMs) / slotMs);
    if (slot < slots.length) slots[slot] = slots[slot]! + (tokens * 1000) / slotMs;
  });
  return { slotMs, tokensPerSecond: slots };
}

export function summarise(
  samples: readonly Sample[],
  seed: number,
  durationMs: number,
): LoadSummary {
  const seconds = durationMs / 1000;
  const groups = new Map<string, Sample[]>();
  samples.forEach((sample) => {
    const key = `${sample.org}\n${sample.kind}`;
    groups.set(key, [...groups.get(key) ?? [], sample]);
  });
  const good = whole(samples);
  const refused = samples.filter(({ outcome }) => outcome !== 'completed' && outcome !== 'broken');
  return {
    seed,
    durationMs,
    sent: samples.length,
    outcomes: countBy(samples),
    goodput: tokensOf(good) / seconds,
    firstMs: quantilesOf(good.map(({ firstMs }) => firstMs)),
    gapMs: quantilesOf(good.flatMap(({ gapsMs }) => gapsMs)),
    refusalMs: quantilesOf(refused.map(({ endMs }) => endMs)),
    refusalsWithoutRetryAfter: refused
      .filter(({ retryAfterSeconds, outcome }) => retryAfterSeconds === undefined && outcome !== 'deadline').length,
    groups: [...groups.values()].map((list) => ({
      org: list[0]!.org,
      kind: list[0]!.kind,
      sent: list.length,
      outcomes: countBy(list),
      tokensPerSecond: tokensOf(whole(list)) / seconds,
      firstMs: quantilesOf(whole(list).map(({ firstMs }) => firstMs)),
      gapMs: quantilesOf(whole(list).flatMap(({ gapsMs }) => gapsMs)),
    })),
    timeline: timelineOf(good, durationMs),
  };
}
