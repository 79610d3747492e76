/** Prometheus metrics of an entry. */
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
  recordOutcome(labels: RequestLabels, outcome: string, seconds: number): void;
  observeFirstToken(labels: RequestLabels, seconds: number): void;
  observeTokenGap(labels: RequestLabels, seconds: number): void;
  setInFlight(value: number): void;
  setAgents(value: number): void;
  setRevision(value: number): void;
  countProtocolError(): void;
  /** Counts a response that was aborted because its caller did not read it. */
  countSlowReader(): void;
}

export function createEntryMetrics(): EntryMetrics {
  const registry = new Registry();
  const registers = [registry];
  const labelNames = ['organisation', 'class'];
  const labelPairOf = createLabelPairs();
  const requests = new Counter({
    name: 'verbenashunt_requests_total', help: 'Requests by outcome.', labelNames: [...labelNames, 'outcome'], registers,
  });
  const duration = new Histogram({
    name: 'verbenashunt_request_seconds', help: 'Time from arrival to the end of the answer.', labelNames, buckets: secondsBuckets, registers,
  });
  const firstTokenSeconds = new Histogram({
    name: 'verbenashunt_first_token_seconds', help: 'Time from arrival to the first token.', labelNames, buckets: secondsBuckets, registers,
  });
  const tokenGapSeconds = new Histogram({
    name: 'verbenashunt_token_gap_seconds', help: 'Time between tokens of an answer.', labelNames, buckets: tokenBuckets, registers,
  });
  const inFlight = new Gauge({ name: 'verbenashunt_in_flight', help: 'Requests in flight.', registers });
  const agents = new Gauge({ name: 'verbenashunt_agents', help: 'Agents connected.', registers });
  const revision = new Gauge({ name: 'verbenashunt_config_revision', help: 'Revision in force.', registers });
  const protocolErrors = new Counter({
    name: 'verbenashunt_protocol_errors_total', help: 'Connections closed for bytes that are no message.', registers,
  });

  const slowReaders = new Counter({
    name: 'verbenashunt_slow_readers_total', help: 'Answers cut off because their caller did not read them.', registers,
  });

  const labelsOf = ({ org, cls }: RequestLabels) => labelPairOf(org, cls);

  return {
    registry,
    recordOutcome(labels, outcome, seconds) {
      requests.inc({ ...labelsOf(labels), outcome });
      duration.observe(labelsOf(labels), seconds);
    },
    observeFirstToken: (labels, seconds) => firstTokenSeconds.observe(labelsOf(labels), seconds),
    observeTokenGap: (labels, seconds) => tokenGapSeconds.observe(labelsOf(labels), seconds),
    setInFlight: (value) => inFlight.set(value),
    setAgents: (value) => agents.set(value),
    setRevision: (value) => revision.set(value),
    countProtocolError: () => protocolErrors.inc(),
    countSlowReader: () => slowReaders.inc(),
  };
}
