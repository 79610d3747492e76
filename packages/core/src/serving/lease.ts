/**
 * Lease that permits its holder to send orders to engines, such as loading layers. It is one row in
 * the store, updated by conditional writes. Its expiry is measured on the store's monotonic clock,
 * so that the clocks of different VMs are never compared.
 *
 * A store that was restored from an older copy may give out versions and lose tokens a second time.
 * Each era of the store therefore has a lease row and a range of tokens of its own: a conditional
 * write of an entry that has not noticed the restoration can't hit the new row, and no token is
 * issued twice.
 */

export interface LeaseRecord {
  /** VM of the process that holds the lease. */
  holder: string;
  /** Fencing token; increases each time a process acquires the lease. */
  token: number;
  /** Expiry on the store's clock in milliseconds. */
  until: number;
}

/** Time to live of a lease in milliseconds: three renewal intervals. */
export const leaseTtlMs = 3000;
/** Renewal interval in milliseconds. */
export const leaseRenewMs = 1000;

/** Range of fencing tokens of one era; far above the number of times a lease is acquired. */
const tokensPerEra = 2 ** 32;

/** Key of the row with the lease; `era` counts the restorations of the store. */
export const leaseKeyOf = (era: number) => (era === 0 ? 'lease' : `lease.${era}`);

/** Validates a row's JSON value; undefined when it is not a lease and may be overwritten. */
export function parseLease(value: unknown): LeaseRecord | undefined {
  const { holder, token, until } = (value ?? {}) as Partial<LeaseRecord>;
  return typeof holder === 'string' && Number.isSafeInteger(token) && Number.isFinite(until)
    ? { holder, token: token!, until: until! }
    : undefined;
}

export interface LeaseClaim {
  /** VM of the process that claims the lease. */
  holder: string;
  /** The store's time in milliseconds. */
  now: number;
  /** Token that this process holds. */
  ownToken: number | undefined;
  /** Era of the store in which the row was read. */
  era: number;
}

/**
 * Returns the record that renews or acquires the lease, to be written if the row is still
 * `current`; undefined while another VM holds the lease. A lease of the same VM with a different
 * token belongs to a process that has ended, and is taken over at once.
 */
export function nextLease(
  current: LeaseRecord | undefined,
  {
    holder, now, ownToken, era,
  }: LeaseClaim,
): LeaseRecord | undefined {
  const until = now + leaseTtlMs;
  if (!current) return { holder, token: era * tokensPerEra + 1, until };
  if (current.holder === holder && current.token === ownToken) return { ...current, until };
  if (current.holder !== holder && current.until > now) return undefined;
  return { holder, token: current.token + 1, until };
}
