/**
 * A lease in the table service whose time is measured on monotonic clocks alone: the holder counts
 * from before it sent the write, a successor from when it first saw the row that it waits out.
 */
import { ConflictError, PlatformError, type Clock } from '@verbenashunt/core';
import type { PlatformClient } from '@verbenashunt/wire';

const table = 'leases';

interface LeaseRow {
  holder: string;
  leaseMs: number;
  /** Version of a model whose rollout failed; none is tried until another is declared. */
  halted?: string;
}

export interface Lease {
  /** Takes or renews the lease; false while another holder's time has not run out. */
  acquire(): Promise<boolean>;
  /** Whether at least `marginMs` are left. */
  valid(marginMs: number): boolean;
  /** The version at which the work under this lease was halted, as last read. */
  readonly halted: string | undefined;
  /** Gives the lease up; `halted` stays in the row for those who follow. */
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

  /** Whether the row of another holder was unchanged for its whole time. */
  function ranOut(version: number, rowLeaseMs: number): boolean {
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
      // Of an unknown outcome the holder assumes the worse: it does not hold the lease.
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
        const foreign = value !== undefined && value.holder !== '' && value.holder !== holder;
        if (foreign && !ranOut(version, value.leaseMs)) return false;
        const taken = await write({ holder, leaseMs, ...(halted ? { halted } : {}) }, version);
        if (taken) validUntil = sentAt + leaseMs;
        return taken;
      } catch (err) {
        if (err instanceof PlatformError) return false;
        throw err;
      }
    },
    valid: (marginMs) => clock.now() + marginMs < validUntil,
    async release(haltedAt) {
      validUntil = -Infinity;
      try {
        const { value, version } = await read();
        if (value?.holder !== holder) return;
        const kept = haltedAt ?? value.halted;
        await write({ holder: '', leaseMs, ...(kept ? { halted: kept } : {}) }, version);
      } catch (err) {
        // A lease that could not be given up runs out.
        if (!(err instanceof PlatformError)) throw err;
      }
    },
  };
}
