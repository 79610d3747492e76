/**
 * Lease on the right to give orders to engines, kept as one row under a condition. Its end is told
 * by the store's own steady clock, so that no clocks of VMs are compared.
 */

/** The row of the lease. */
export interface LeaseRecord {
  /** VM of the process that holds it. */
  holder: string;
  /** Fencing token; grows with each process that takes the lease. */
  token: number;
  /** End on the store's clock in milliseconds. */
  until: number;
}

/** Time for which a lease is taken in milliseconds: three renewals. */
export const leaseTtlMs = 3000;
/** Time between renewals in milliseconds. */
export const leaseRenewMs = 1000;

/** The record of a row's JSON; undefined for one that is no lease and may be replaced. */
export function validLease(value: unknown): LeaseRecord | undefined {
  const { holder, token, until } = (value ?? {}) as Partial<LeaseRecord>;
  return typeof holder === 'string' && Number.isSafeInteger(token) && Number.isFinite(until)
    ? { holder, token: token!, until: until! }
    : undefined;
}

/**
 * The record to write on top of the one read, at the store's time `now`; undefined while another
 * process holds the lease. `ownToken` is the one that this process holds: without it, a lease of
 * its own VM is from a process that has ended, and is taken over at once.
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
