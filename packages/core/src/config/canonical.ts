/** Canonical JSON and the hash that chains revision records. */
import { createHash } from 'node:crypto';

function sorted(value: unknown): unknown {
  if (Array.isArray(value)) return value.map(sorted);
  if (value === null || typeof value !== 'object') return value;
  const entries = Object.entries(value)
    .filter(([, v]) => v !== undefined)
    .sort(([a], [b]) => (a < b ? -1 : 1))
    .map(([key, v]) => [key, sorted(v)]);
  return Object.fromEntries(entries);
}

/** JSON text with the keys of every object in order. */
export const canonicalJson = (value: unknown) => JSON.stringify(sorted(value));

/** SHA-256 in hexadecimal. */
export const sha256 = (text: string | Uint8Array) => createHash('sha256').update(text).digest('hex');

/** Hash that stands before the first revision. */
export const genesisHash = '0'.repeat(64);
