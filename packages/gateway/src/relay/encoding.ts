/** Encodes changes of a table as JSON for other entries. */
import { ProtocolError } from '@verbenashunt/core';
import type { TableState } from '../ports.js';
import type { RelayedChanges } from '../generated/relay.js';
import { validateRelayedChanges } from '../generated/relay-validators.js';

export const encodeChanges = ({ rows, ...state }: TableState): string => JSON.stringify({
  ...state,
  rows: rows.map(({ key, value, version }) => ({ key, value: value?.toString('base64'), version })),
} satisfies RelayedChanges);

const isValid = (value: unknown): value is RelayedChanges => validateRelayedChanges(value);

/** Throws ProtocolError. */
export function decodeChanges(text: string): TableState {
  let value: unknown;
  try {
    value = JSON.parse(text);
  } catch (err) {
    throw new ProtocolError('the relayed changes are not JSON', { cause: err });
  }
  if (!isValid(value)) throw new ProtocolError('the relayed changes are not valid');
  const {
    rows, version, era, now,
  } = value;
  return {
    version,
    era,
    now,
    rows: rows.map((row) => ({
      key: row.key,
      value: row.value === undefined ? undefined : Buffer.from(row.value, 'base64'),
      version: row.version,
    })),
  };
}
