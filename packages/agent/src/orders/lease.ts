/**
 * A lease in the table service. Its time is measured with monotonic clocks only: the holder counts
 * from before it sends the write; a successor counts from when it first reads the current version
 * of the row, so it never takes the lease too early.
 */
import { ConflictError, PlatformError, type Clock } from '@verbenashunt/core';
import type { PlatformClient } from '@verbenashunt/wire';

const table = 'leases';

interface LeaseRow {
  holder: string;
  leaseMs: number;
  /** Model version whose rollout failed; nothing is loaded until another version is declared. */
  halted?: string;
}

export interface Lease {
  /** Acquires or renews the lease; false while another holder's lease has not expired. */
  acquire(): Promise<boolean>;
  /** Whether more than `marginMs` of the lease remain. */
  isValid(marginMs: number): boolean;
  /** Model version whose rollout was halted, as of the last read. */
  readonly halted: string | undefined;
  /** Releases the lease; `halted` stays in the row for later holders. */
  release(halted?: string): Promise<void>;
}

export interface LeaseDeps {
  platform: Pick<PlatformClient, 'get' | 'transact'>;
  clock: Clock;
  key: string;
  holder: string;
  leaseMs: number;
}

export function createLease({
  platform, clock, key, holder, leaseMs,
}: LeaseDeps): Lease {
  let validUntil = -Infinity;
  let halted: string | undefined;
  let observed = { version: 0, at: 0 };

  /** Whether the row of another holder has not changed for the duration of its lease. */
  function hasExpired(version: number, rowLeaseMs: number): boolean {
    if (observed.version !== version) observed = { version, at: clock.now() };
    return clock.now() - observed.at >= rowLeaseMs;
  }

  async function write(row: LeaseRow, version: number): Promise<boolean> {
    try {
      await platform.transact({
        conditions: [{ table, key, version }],
        puts: [{ table, key, value: JSON.stringify(row) }],
      });
      return true;
    } catch (err) {
      // If the outcome is unknown, the caller must assume that it does not hold the lease.
      if (err instanceof ConflictError || err instanceof PlatformError) return false;
      throw err;
    }
  }

  async function read() {
    const row = await platform.get(table, key);
    const value = row && JSON.parse(row.value) as LeaseRow;
    halted = value?.halted;
    return { value, version: row?.version ?? 0 };
  }

  return {
    get halted() {
      return halted;
    },
    async acquire() {
      const sentAt = clock.now();
      try {
        const { value, version } = await read();
        const heldByOther = value !== undefined && value.holder !== '' && value.holder !== holder;
        if (heldByOther && !hasExpired(version, value.leaseMs)) return false;
        const acquired = await write({ holder, leaseMs, ...(halted ? { halted } : {}) }, version);
        if (acquired) validUntil = sentAt + leaseMs;
        return acquired;
      } catch (err) {
        if (err instanceof PlatformError) return false;
        throw err;
      }
    },
    isValid: (marginMs) => clock.now() + marginMs < validUntil,
    async release(haltedAt) {
      validUntil = -Infinity;
      try {
        const { value, version } = await read();
        if (value?.holder !== holder) return;
        const haltedVersion = haltedAt ?? value.halted;
        await write({ holder: '', leaseMs, ...(haltedVersion ? { halted: haltedVersion } : {}) }, version);
      } catch (err) {
        // A lease that could not be released expires.
        if (!(err instanceof PlatformError)) throw err;
      }
    },
  };
}
