/** Admission of stages. */
import type { LoadedModel, Offer } from '@verbenashunt/schema';

export interface OfferContext {
  incarnation: number;
  maxActive: number;
  active: number;
  /** Newest attempt of the request that may no longer run here; -1 for none. */
  newestFencedAttempt: number;
  /** Revision of the configuration in force. */
  revision(): number;
  /** Whether the target takes new work. */
  admitting(): boolean;
  loaded(): readonly LoadedModel[];
}

/** Returns the code with which an offer is refused, or undefined if it is admitted. */
export function offerRefusalCode(offer: Offer, ctx: OfferContext): string | undefined {
  if (offer.incarnation !== ctx.incarnation) return 'old_incarnation';
  if (ctx.newestFencedAttempt >= offer.attempt) return 'fenced';
  if (!ctx.admitting()) return 'draining';
  if (offer.revision < ctx.revision()) return 'stale_config';
  const { model, version, range } = offer;
  const isLoaded = ctx.loaded().some((l) => l.model === model && l.version === version
    && l.lo <= range.lo && l.hi >= range.hi);
  if (!isLoaded) return 'not_loaded';
  return ctx.active >= ctx.maxActive ? 'busy' : undefined;
}
