/** Bundles the platform's daemon into a file. */
export function bundle(outfile: string): Promise<unknown>;
