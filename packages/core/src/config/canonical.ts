/** Canonical JSON and the hashes that link revision records into a chain. */
import { createHash } from 'node:crypto';

function withSortedKeys(value: unknown): unknown {
  if (Array.isArray(value)) return value.map(withSortedKeys);
  if (value === null || typeof value !== 'object') return value;
  const entries = Object.entries(value)
    .filter(([, v]) => v !== undefined)
    .sort(([a], [b]) => (a < b ? -1 : 1))
    .map(([key, v]) => [key, withSortedKeys(v)]);
  return Object.fromEntries(entries);
}

/** JSON text with the keys of every object sorted and undefined values left out. */
export const canonicalJson = (value: unknown) => JSON.stringify(withSortedKeys(value));

/** SHA-256 as a hexadecimal string. */
export const sha256 = (text: string | Uint8Array) => createHash('sha256').update(text).digest('hex');

/** `previousHash` of the first revision record. */
export const genesisHash = '0'.repeat(64);
