/**
 * An entry's share of a limit that holds across all entries, without shared state that is written
 * on each request.
 *
 * Each entry reports its demand every interval. An entry uses limit / entries, unless it has a
 * recent report from every other entry: then it uses its own demand divided by the total demand. A
 * fraction above 1 / entries takes effect one interval after it was first computed, so that entries
 * whose demand rises at the same time have received each other's reports by then. The limit is
 * exceeded by at most (entries - 1) * rate * staleMs while reports are lost, and by at most the
 * bursts otherwise; docs/design/admission.md derives these bounds.
 */

export interface DemandReport {
  /** Requests per second, or requests in flight, depending on the limit. */
  demand: number;
  /** Time of the report on this entry's clock, in milliseconds. */
  at: number;
}

export interface ShareOptions {
  /** Milliseconds between reports. */
  intervalMs: number;
  /** Age in milliseconds from which a report is ignored. */
  staleMs: number;
}

export const defaultShareOptions: ShareOptions = { intervalMs: 500, staleMs: 1500 };

export interface LimitShare {
  recordReport(entry: string, report: DemandReport): void;
  /** Fraction of the limit that this entry may use, from 0 to 1. */
  fraction(ownDemand: number, otherEntries: readonly string[], now: number): number;
}

/** An increase that takes effect once one interval has passed. */
interface PendingIncrease {
  fraction: number;
  since: number;
}

export function createLimitShare(options: ShareOptions = defaultShareOptions): LimitShare {
  const reports = new Map<string, DemandReport>();
  /** Fraction in use while it is at least 1 / entries; 0 otherwise. */
  let grantedFraction = 0;
  let pendingIncrease: PendingIncrease | undefined;

  /** This entry's fraction of the total demand; undefined without recent reports from all. */
  function demandFraction(
    ownDemand: number,
    otherEntries: readonly string[],
    now: number,
  ): number | undefined {
    const latest = otherEntries.map((entry) => reports.get(entry));
    const fresh = latest.filter((r) => r !== undefined && now - r.at < options.staleMs);
    if (fresh.length < otherEntries.length) return undefined;
    const totalDemand = fresh.reduce((sum, r) => sum + r!.demand, ownDemand);
    return totalDemand > 0 ? ownDemand / totalDemand : undefined;
  }

  return {
    recordReport: (entry, report) => reports.set(entry, report),
    fraction(ownDemand, otherEntries, now) {
      const evenFraction = 1 / (otherEntries.length + 1);
      const wantedFraction = demandFraction(ownDemand, otherEntries, now);
      if (wantedFraction === undefined || wantedFraction <= evenFraction) {
        pendingIncrease = undefined;
        grantedFraction = 0;
        return wantedFraction ?? evenFraction;
      }
      grantedFraction = Math.max(evenFraction, Math.min(grantedFraction, wantedFraction));
      if (wantedFraction <= grantedFraction) {
        pendingIncrease = undefined;
        return grantedFraction;
      }
      pendingIncrease ??= { fraction: wantedFraction, since: now };
      pendingIncrease.fraction = Math.min(pendingIncrease.fraction, wantedFraction);
      if (now - pendingIncrease.since >= options.intervalMs) {
        grantedFraction = pendingIncrease.fraction;
        pendingIncrease = undefined;
      }
      return grantedFraction;
    },
  };
}
