/** Takes the next incarnation number of a target from the table service. */
import { ConflictError, PlatformError, type Clock } from '@verbenashunt/core';
import type { PlatformClient } from '@verbenashunt/wire';

const table = 'incarnations';
const retryMs = 200;

async function tryTake(platform: PlatformClient, target: string): Promise<number | undefined> {
  try {
    const row = await platform.get(table, target);
    const version = row?.version ?? 0;
    await platform.transact({
      conditions: [{ table, key: target, version }],
      puts: [{ table, key: target, value: String(version + 1) }],
    });
    return version + 1;
  } catch (err) {
    // After a lost answer the next try reads a newer version: numbers may be skipped, not shared.
    if (err instanceof ConflictError || err instanceof PlatformError) return undefined;
    throw err;
  }
}

/** Resolves once a number was taken; keeps trying while the table service is out. */
export async function takeIncarnation(
  platform: PlatformClient,
  target: string,
  clock: Clock,
): Promise<number> {
  const taken = await tryTake(platform, target);
  if (taken !== undefined) return taken;
  await new Promise<void>((resolve) => {
    clock.after(retryMs, resolve);
  });
  return takeIncarnation(platform, target, clock);
}
