/** Counters and histograms of a gateway. */
import {
  Counter, Gauge, Histogram, Registry,
} from 'prom-client';

/** Buckets of the times to the first byte and to the end in seconds. */
const secondsBuckets = [0.01, 0.025, 0.05, 0.1, 0.2, 0.35, 0.5, 0.75, 1, 1.5, 2, 4, 8, 20];

export function createGatewayMetrics() {
  const registry = new Registry();
  const registers = [registry];
  const requests = new Counter({
    name: 'verbenashunt_gateway_requests_total', help: 'Requests that ended, by route kind and outcome.', labelNames: ['kind', 'outcome'], registers,
  });
  const attempts = new Counter({
    name: 'verbenashunt_gateway_failed_attempts_total', help: 'Attempts at targets without an answer, by how they ended.', labelNames: ['end'], registers,
  });
  const firstByte = new Histogram({
    name: 'verbenashunt_gateway_first_byte_seconds', help: 'Time from a request to the first byte of its answer.', labelNames: ['kind'], buckets: secondsBuckets, registers,
  });
  const config = new Gauge({
    name: 'verbenashunt_gateway_config_version', help: 'Version of the configuration in force.', registers,
  });
  const targets = new Gauge({
    name: 'verbenashunt_gateway_targets', help: 'Targets known, by service.', labelNames: ['service'], registers,
  });
  return {
    registry, requests, attempts, firstByte, config, targets,
  };
}

export type GatewayMetrics = ReturnType<typeof createGatewayMetrics>;
