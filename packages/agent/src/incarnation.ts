/**
 * Claims the next incarnation number of a target in the table service. Each agent process has its
 * own number, so that peers and the engine can tell it from earlier ones.
 */
import { ConflictError, PlatformError, type Clock } from '@verbenashunt/core';
import type { PlatformClient } from '@verbenashunt/wire';

const table = 'incarnations';
const retryDelayMs = 200;

async function tryClaim(platform: PlatformClient, target: string): Promise<number | undefined> {
  try {
    const row = await platform.get(table, target);
    const version = row?.version ?? 0;
    await platform.transact({
      conditions: [{ table, key: target, version }],
      puts: [{ table, key: target, value: String(version + 1) }],
    });
    return version + 1;
  } catch (err) {
    // If the write took effect but its response was lost, the next attempt reads a newer version:
    // numbers may be skipped but are never shared.
    if (err instanceof ConflictError || err instanceof PlatformError) return undefined;
    throw err;
  }
}

/** Resolves once a number was claimed; retries while the table service is unavailable. */
export async function claimIncarnation(
  platform: PlatformClient,
  target: string,
  clock: Clock,
): Promise<number> {
  const claimed = await tryClaim(platform, target);
  if (claimed !== undefined) return claimed;
  await new Promise<void>((resolve) => {
    clock.after(retryDelayMs, resolve);
  });
  return claimIncarnation(platform, target, clock);
}
