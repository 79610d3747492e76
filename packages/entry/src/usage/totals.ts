/** Sums usage batches. A request counts once even if several records have its id. */
import type { UsageBatch, UsageRecord } from '@verbenashunt/schema';

export interface UsageTotal {
  org: string;
  model: string;
  outcome: string;
  requests: number;
  promptTokens: number;
  tokens: number;
}

/** A request is completed if one of its records says so, even if another one has a failure. */
const preferred = (a: UsageRecord | undefined, b: UsageRecord) => (
  a === undefined || b.outcome === 'completed' ? b : a);

/** Totals by organisation, model and outcome, sorted in that order. */
export function sumUsage(batches: readonly UsageBatch[]): UsageTotal[] {
  const records = new Map<string, UsageRecord>();
  batches.flatMap((batch) => batch.records)
    .forEach((record) => records.set(record.id, preferred(records.get(record.id), record)));
  const totals = new Map<string, UsageTotal>();
  records.forEach(({
    org, model, outcome, promptTokens, tokens,
  }) => {
    const key = JSON.stringify([org, model, outcome]);
    const total = totals.get(key) ?? {
      org, model, outcome, requests: 0, promptTokens: 0, tokens: 0,
    };
    totals.set(key, {
      ...total,
      requests: total.requests + 1,
      promptTokens: total.promptTokens + promptTokens,
      tokens: total.tokens + tokens,
    });
  });
  return [...totals].sort(([a], [b]) => (a < b ? -1 : 1)).map(([, total]) => total);
}
