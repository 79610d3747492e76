/** Usage accounting of an entry: the request meter, the log of usage records, and metrics. */
import { Counter, Gauge, type Registry } from 'prom-client';
import type { Clock } from '@verbenashunt/core';
import type { PlatformClient } from '@verbenashunt/wire';
import { createUsageLog, type UsageLog } from './log.js';
import { createUsageMeter, type UsageMeter } from './meter.js';

export interface Usage extends UsageMeter {
  close: UsageLog['close'];
}

export interface UsageDeps {
  clock: Clock;
  node: string;
  incarnation: number;
  platform: Pick<PlatformClient, 'putObject'>;
  registry: Registry;
}

export function createUsage(deps: UsageDeps): Usage {
  const registers = [deps.registry];
  const written = new Counter({
    name: 'verbenashunt_usage_written_total', help: 'Usage records stored.', registers,
  });
  const dropped = new Counter({
    name: 'verbenashunt_usage_dropped_total', help: 'Usage records dropped in a long outage of the object store.', registers,
  });
  const log = createUsageLog({
    ...deps,
    putObject: deps.platform.putObject,
    onDropped: () => dropped.inc(),
    onWritten: (records) => written.inc(records),
  });
  const held = new Gauge({
    name: 'verbenashunt_usage_held',
    help: 'Usage records not yet stored.',
    registers,
    collect() {
      held.set(log.held);
    },
  });
  return { ...createUsageMeter(deps.clock, log.add), close: log.close };
}
