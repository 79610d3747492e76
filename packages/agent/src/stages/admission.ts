/** Whether a stage may be admitted. */
import type { LoadedModel, Offer } from '@verbenashunt/schema';

export interface OfferContext {
  incarnation: number;
  maxActive: number;
  active: number;
  /** Newest attempt of the request that is fenced; -1 for none. */
  fencedTo: number;
  revision(): number;
  admitting(): boolean;
  loaded(): readonly LoadedModel[];
}

/** The code with which an offer is refused; undefined admits it. */
export function refuseOffer(offer: Offer, ctx: OfferContext): string | undefined {
  if (offer.incarnation !== ctx.incarnation) return 'old_incarnation';
  if (ctx.fencedTo >= offer.attempt) return 'fenced';
  if (!ctx.admitting()) return 'draining';
  if (offer.revision < ctx.revision()) return 'stale_config';
  const { model, version, range } = offer;
  const held = ctx.loaded().some((l) => l.model === model && l.version === version
    && l.lo <= range.lo && l.hi >= range.hi);
  if (!held) return 'not_loaded';
  return ctx.active >= ctx.maxActive ? 'busy' : undefined;
}
