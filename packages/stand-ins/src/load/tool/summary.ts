/** Summary of a load: quantiles in total and by organisation and kind, and a timeline. */
import { build, type Histogram } from 'hdr-histogram-js';
import type { Sample } from './client.js';

/** Histogram values are in units of 10 microseconds. */
const unitsPerMs = 100;
/** Length of one slot of the timeline. */
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
  /** Requests by outcome. */
  outcomes: Record<string, number>;
  /** Tokens of completed answers per second. */
  tokensPerSecond: number;
  /** Milliseconds from the scheduled send time to the first token, or to a lookup's answer. */
  firstMs: Quantiles;
  /** Milliseconds between consecutive chunks with tokens. */
  gapMs: Quantiles;
}

export interface LoadSummary {
  seed: number;
  durationMs: number;
  sent: number;
  outcomes: Record<string, number>;
  /** Tokens of completed answers per second. */
  goodput: number;
  firstMs: Quantiles;
  gapMs: Quantiles;
  /** Milliseconds from the scheduled send time to a refusal. */
  refusalMs: Quantiles;
  /** Retryable refusals without Retry-After; a refusal with `deadline` is not retryable. */
  refusalsWithoutRetryAfter: number;
  groups: GroupSummary[];
  /** Tokens per second, each answer's tokens counted in the slot in which it ended. */
  timeline: { slotMs: number; tokensPerSecond: number[] };
}

function quantilesOf(values: readonly number[]): Quantiles {
  const histogram: Histogram = build({ highestTrackableValue: 100_000_000 });
  values.forEach((ms) => histogram.recordValue(Math.max(0, Math.round(ms * unitsPerMs))));
  const valueAt = (percent: number) => histogram.getValueAtPercentile(percent) / unitsPerMs;
  return {
    p50: valueAt(50), p95: valueAt(95), p99: valueAt(99), max: histogram.maxValue / unitsPerMs,
  };
}

const countBy = (samples: readonly Sample[]) => samples
  .reduce<Record<string, number>>((counts, { outcome }) => ({
    ...counts, [outcome]: (counts[outcome] ?? 0) + 1,
  }), {});

const completedOf = (samples: readonly Sample[]) => samples.filter(({ outcome }) => outcome === 'completed');
const totalTokens = (samples: readonly Sample[]) => samples
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
  const completed = completedOf(samples);
  const refused = samples.filter(({ outcome }) => outcome !== 'completed' && outcome !== 'broken');
  return {
    seed,
    durationMs,
    sent: samples.length,
    outcomes: countBy(samples),
    goodput: totalTokens(completed) / seconds,
    firstMs: quantilesOf(completed.map(({ firstMs }) => firstMs)),
    gapMs: quantilesOf(completed.flatMap(({ gapsMs }) => gapsMs)),
    refusalMs: quantilesOf(refused.map(({ endMs }) => endMs)),
    refusalsWithoutRetryAfter: refused
      .filter(({ retryAfterSeconds, outcome }) => retryAfterSeconds === undefined && outcome !== 'deadline').length,
    groups: [...groups.values()].map((group) => ({
      org: group[0]!.org,
      kind: group[0]!.kind,
      sent: group.length,
      outcomes: countBy(group),
      tokensPerSecond: totalTokens(completedOf(group)) / seconds,
      firstMs: quantilesOf(completedOf(group).map(({ firstMs }) => firstMs)),
      gapMs: quantilesOf(completedOf(group).flatMap(({ gapsMs }) => gapsMs)),
    })),
    timeline: timelineOf(completed, durationMs),
  };
}
