/**
 * Lease that permits its holder to send orders to engines, such as loading layers. It is one row in
 * the store, updated by conditional writes. Its expiry is measured on the store's monotonic clock,
 * so that the clocks of different VMs are never compared.
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

/** Validates a row's JSON value; undefined when it is not a lease and may be overwritten. */
export function parseLease(value: unknown): LeaseRecord | undefined {
  const { holder, token, until } = (value ?? {}) as Partial<LeaseRecord>;
  return typeof holder === 'string' && Number.isSafeInteger(token) && Number.isFinite(until)
    ? { holder, token: token!, until: until! }
    : undefined;
}

/**
 * Returns the record that renews or acquires the lease, to be written if the row is still
 * `current`; undefined while another VM holds the lease. `now` is the store's time and `ownToken`
 * the token that this process holds. A lease of the same VM with a different token belongs to a
 * process that has ended, and is taken over at once.
 */
export function nextLease(
  current: LeaseRecord | undefined,
  holder: string,
  now: number,
  ownToken: number | undefined,
): LeaseRecord | undefined {
  const until = now + leaseTtlMs;
  if (!current) return { holder, token: 1, until };
  if (current.holder === holder && current.token === ownToken) return { ...current, until };
  if (current.holder !== holder && current.until > now) return undefined;
  return { holder, token: current.token + 1, until };
}
