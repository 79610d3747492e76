/** Bundles the platform daemon into a single file. */
export function bundle(outfile: string): Promise<unknown>;
