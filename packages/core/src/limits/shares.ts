/**
 * An entry's share of a limit that holds across all entries, without a write per request.
 *
 * Each entry reports its demand every interval. An entry uses limit / entries, unless it has
 * heard every other entry lately: then it uses its part of the whole demand. A part above
 * limit / entries is used only one interval after it was first computed, so that entries whose
 * demand rises at once have heard each other before. Overshoot is bounded by
 * (entries - 1) * rate * staleMs while reports are lost, and by the bursts otherwise;
 * docs/design/admission.md gives the argument.
 */

export interface DemandReport {
  /** Requests per second asked for, or requests in flight, as the limit counts. */
  demand: number;
  at: number;
}

export interface ShareOptions {
  /** Time between reports in milliseconds. */
  intervalMs: number;
  /** Age from which a report no longer counts in milliseconds. */
  staleMs: number;
}

export const defaultShareOptions: ShareOptions = { intervalMs: 500, staleMs: 1500 };

export interface LimitShare {
  /** Takes the demand that another entry reported at `at`. */
  hear(entry: string, report: DemandReport): void;
  /** Part of the limit that this entry may use, between 0 and 1. */
  part(own: number, others: readonly string[], now: number): number;
}

interface Raise {
  part: number;
  since: number;
}

export function createLimitShare(options: ShareOptions = defaultShareOptions): LimitShare {
  const heard = new Map<string, DemandReport>();
  /** Part in use above the even one. */
  let granted = 0;
  let raise: Raise | undefined;

  function computed(own: number, others: readonly string[], now: number): number | undefined {
    const reports = others.map((entry) => heard.get(entry));
    const known = reports.filter((r) => r !== undefined && now - r.at < options.staleMs);
    if (known.length < others.length) return undefined;
    const total = known.reduce((sum, r) => sum + r!.demand, own);
    return total > 0 ? own / total : undefined;
  }

  return {
    hear: (entry, report) => heard.set(entry, report),
    part(own, others, now) {
      const even = 1 / (others.length + 1);
      const wanted = computed(own, others, now);
      if (wanted === undefined || wanted <= even) {
        raise = undefined;
        granted = 0;
        return wanted ?? even;
      }
      granted = Math.max(even, Math.min(granted, wanted));
      if (wanted <= granted) {
        raise = undefined;
        return granted;
      }
      raise ??= { part: wanted, since: now };
      raise.part = Math.min(raise.part, wanted);
      if (now - raise.since >= options.intervalMs) {
        granted = raise.part;
        raise = undefined;
      }
      return granted;
    },
  };
}
