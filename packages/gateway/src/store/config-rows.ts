/** Puts configurations from the rows of the store in force, and logs how each one came. */
import type { Logger } from 'pino';
import type { Clock, ServingConfig, ServingConfigHolder } from '@verbenashunt/core';
import type { StoredRow } from '../ports.js';
import type { FollowedTable, RowsOrigin } from './follow.js';

export interface ConfigRowsDeps {
  clock: Clock;
  log: Logger;
  config: Pick<ServingConfigHolder, 'offer'>;
  /** Returns undefined for a row that is not the configuration, or not valid. */
  decode(row: StoredRow): ServingConfig | undefined;
}

export type ConfigRows = Pick<FollowedTable, 'isNewestOnly' | 'onRows' | 'onChanges'>;

export function createConfigRows(deps: ConfigRowsDeps): ConfigRows {
  const { clock, log, config } = deps;

  /** Log fields of how rows came and how old they are; times in milliseconds. */
  const originFields = ({
    via, asOf, askedAt, receivedAt,
  }: RowsOrigin) => ({
    via: via ?? 'store',
    askedMs: Math.round(receivedAt - askedAt),
    ageMs: asOf === undefined ? undefined : Math.round(clock.now() - asOf),
    appliedMs: Math.round(clock.now() - receivedAt),
  });

  function offer(rows: readonly StoredRow[], origin: RowsOrigin) {
    rows.flatMap((row) => deps.decode(row) ?? []).forEach((next) => {
      if (!config.offer(next)) return;
      log.info({ version: next.version, ...originFields(origin) }, 'configuration in force');
    });
  }

  return { isNewestOnly: true, onRows: offer, onChanges: offer };
}
