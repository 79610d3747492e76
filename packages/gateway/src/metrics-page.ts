/** Page of a gateway's metrics; sets the gauges of its current state whenever it is fetched. */
import type { ServingConfigHolder } from '@verbenashunt/core';
import type { ProbeRoute } from './http/server.js';
import type { LoadSharing } from './load/load-sharing.js';
import type { GatewayMetrics } from './metrics.js';
import type { ServiceStates } from './requests/service-states.js';
import type { TargetTracking } from './targets/target-tracking.js';

export interface MetricsPageDeps {
  metrics: GatewayMetrics;
  config: Pick<ServingConfigHolder, 'view'>;
  /** Time in milliseconds since the configuration was known to be the newest one. */
  configAgeMs(): number;
  serviceStates: ServiceStates;
  tracking: Pick<TargetTracking, 'targets' | 'rateLimits' | 'crashTable'>;
  /** Undefined without an address for other entries. */
  loadSharing: LoadSharing | undefined;
}

const millisecondsPerSecond = 1000;

/** Returns the function that answers a request for the page. */
export function createMetricsPage({
  metrics, config, configAgeMs, serviceStates, tracking, loadSharing,
}: MetricsPageDeps): ProbeRoute['answer'] {
  const { targets, rateLimits, crashTable } = tracking;

  function setServiceGauges(service: string) {
    metrics.targets.set({ service }, targets.ofService(service).length);
    const window = serviceStates.of(service).retries;
    const { retries, denied } = window.counts();
    metrics.retries.set({ service, state: 'made' }, retries);
    metrics.retries.set({ service, state: 'denied' }, denied);
    metrics.retries.set({ service, state: 'allowed' }, window.allowance());
  }

  function setQueueGauges() {
    [...serviceStates.entries()].forEach(([service, { startQueue }]) => startQueue
      .countByPriority()
      .forEach((count, priority) => metrics.waiting.set({ service, priority }, count)));
  }

  function setTargetGauges() {
    const limited = targets.all.filter((target) => rateLimits.limitOf(target) !== undefined);
    metrics.limitedTargets.set(limited.length);
    metrics.crashingParts.set(crashTable.crashingParts);
  }

  function setLoadGauges({ member }: LoadSharing) {
    metrics.loadEntries.set(member.heard());
    metrics.loadAge.set(member.ageMs() / millisecondsPerSecond);
  }

  return async () => {
    setQueueGauges();
    config.view?.config.services.forEach(({ name }) => setServiceGauges(name));
    setTargetGauges();
    metrics.configAge.set(configAgeMs() / millisecondsPerSecond);
    if (loadSharing) setLoadGauges(loadSharing);
    return {
      status: 200, type: metrics.registry.contentType, body: await metrics.registry.metrics(),
    };
  };
}
