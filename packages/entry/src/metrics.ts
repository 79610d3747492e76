/** Metrics of an entry. */
import {
  Counter, Gauge, Histogram, Registry,
} from 'prom-client';
import { createLabelPairs } from './label-pairs.js';

const secondsBuckets = [0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1, 1.1, 2.5, 5, 10, 30];
const tokenBuckets = [0.001, 0.0025, 0.005, 0.01, 0.025, 0.051, 0.1, 0.25, 0.5, 1, 2];

export interface RequestLabels {
  org: string;
  cls: string;
}

export interface EntryMetrics {
  registry: Registry;
  outcome(labels: RequestLabels, outcome: string, seconds: number): void;
  firstToken(labels: RequestLabels, seconds: number): void;
  betweenTokens(labels: RequestLabels, seconds: number): void;
  inFlight(value: number): void;
  agents(value: number): void;
  revision(value: number): void;
  protocolErrors(): void;
  /** An answer was cut off because its caller did not read it. */
  slowReader(): void;
}

export function createEntryMetrics(): EntryMetrics {
  const registry = new Registry();
  const registers = [registry];
  const labelNames = ['organisation', 'class'];
  const pairOf = createLabelPairs();
  const requests = new Counter({
    name: 'verbenashunt_requests_total', help: 'Requests by outcome.', labelNames: [...labelNames, 'outcome'], registers,
  });
  const duration = new Histogram({
    name: 'verbenashunt_request_seconds', help: 'Time from arrival to the end of the answer.', labelNames, buckets: secondsBuckets, registers,
  });
  const first = new Histogram({
    name: 'verbenashunt_first_token_seconds', help: 'Time from arrival to the first token.', labelNames, buckets: secondsBuckets, registers,
  });
  const between = new Histogram({
    name: 'verbenashunt_token_gap_seconds', help: 'Time between tokens of an answer.', labelNames, buckets: tokenBuckets, registers,
  });
  const inFlight = new Gauge({ name: 'verbenashunt_in_flight', help: 'Requests in flight.', registers });
  const agents = new Gauge({ name: 'verbenashunt_agents', help: 'Agents connected.', registers });
  const revision = new Gauge({ name: 'verbenashunt_config_revision', help: 'Revision in force.', registers });
  const errors = new Counter({
    name: 'verbenashunt_protocol_errors_total', help: 'Connections closed for bytes that are no message.', registers,
  });

  const slowReaders = new Counter({
    name: 'verbenashunt_slow_readers_total', help: 'Answers cut off because their caller did not read them.', registers,
  });

  const labelsOf = ({ org, cls }: RequestLabels) => pairOf(org, cls);

  return {
    registry,
    outcome(labels, outcome, seconds) {
      requests.inc({ ...labelsOf(labels), outcome });
      duration.observe(labelsOf(labels), seconds);
    },
    firstToken: (labels, seconds) => first.observe(labelsOf(labels), seconds),
    betweenTokens: (labels, seconds) => between.observe(labelsOf(labels), seconds),
    inFlight: (value) => inFlight.set(value),
    agents: (value) => agents.set(value),
    revision: (value) => revision.set(value),
    protocolErrors: () => errors.inc(),
    slowReader: () => slowReaders.inc(),
  };
}
