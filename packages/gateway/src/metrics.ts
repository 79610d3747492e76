/** Prometheus metrics of a gateway. */
import {
  Counter, Gauge, Histogram, Registry,
} from 'prom-client';
import type {
  AdmissionRefusalReason, AttemptEnd, Priority, RequestKind,
} from '@verbenashunt/core';

/** Histogram buckets of the time to the first byte in seconds. */
const firstByteBuckets = [0.01, 0.025, 0.05, 0.1, 0.2, 0.35, 0.5, 0.75, 1, 1.5, 2, 4, 8, 20];
/** Histogram buckets of the duration of a turn of the event loop in seconds. */
const turnBuckets = [0.001, 0.002, 0.005, 0.01, 0.02, 0.05, 0.1, 0.25, 1];
const millisecondsPerSecond = 1000;
/** Histogram buckets of the time in the queue in seconds. */
const waitBuckets = [0.01, 0.025, 0.05, 0.1, 0.2, 0.35, 0.5, 0.75, 1, 2, 4];
/** Maximum number of organisations with their own label value; further ones share one. */
const maxOrganisations = 200;
/** Label value of requests without organisation, as their route needs no key. */
const noOrganisationLabel = 'none';
/** Label value shared by organisations beyond the maximum. */
const otherOrganisationsLabel = 'other';

/** Metrics recorded by one request. */
export interface RequestMetrics {
  /** Records the outcome of the request at its end. */
  requestEnded(outcome: string): void;
  attemptFailed(end: AttemptEnd): void;
  /** Records that nothing was sent to the chosen target, as it wants no requests now. */
  attemptHeldBack(): void;
  /** Records that the answer's first byte was sent `ms` milliseconds after the request arrived. */
  firstByteSent(ms: number): void;
  /** Records that the request left the queue `ms` milliseconds after it had entered it. */
  waited(ms: number): void;
  queueRefused(reason: AdmissionRefusalReason): void;
  /** Counts a stream without a length or chunks that ended after a whole event, or without any. */
  unframedStreamEnded(verdict: string): void;
}

/** Metrics of the loads that entries exchange. */
export interface LoadMetrics {
  /** Counts the bytes of a message sent to another entry and of its answer. */
  exchanged(sentBytes: number, receivedBytes: number): void;
  /** Counts the bytes of a message that another entry sent. */
  received(bytes: number): void;
  /** Counts a message of another entry that was dropped. */
  dropped(reason: string): void;
}

export function createGatewayMetrics() {
  const registry = new Registry();
  const registers = [registry];
  const requests = new Counter({
    name: 'verbenashunt_gateway_requests_total', help: 'Requests that ended, by route kind and outcome.', labelNames: ['kind', 'outcome'], registers,
  });
  const byOrganisation = new Counter({
    name: 'verbenashunt_gateway_organisation_requests_total', help: 'Requests that ended, by organisation and outcome.', labelNames: ['organisation', 'outcome'], registers,
  });
  const attempts = new Counter({
    name: 'verbenashunt_gateway_failed_attempts_total', help: 'Attempts at targets without an answer, by how they ended.', labelNames: ['end'], registers,
  });
  const unframedStreams = new Counter({
    name: 'verbenashunt_gateway_unframed_stream_ends_total', help: 'Attempts whose stream came without a length or chunks and ended with its connection, by how the end was judged.', labelNames: ['verdict'], registers,
  });
  const heldBack = new Counter({
    name: 'verbenashunt_gateway_held_back_attempts_total', help: 'Attempts that were not sent, as the chosen target wanted a pause or was at its rate limit.', registers,
  });
  const firstByte = new Histogram({
    name: 'verbenashunt_gateway_first_byte_seconds', help: 'Time from a request to the first byte of its answer.', labelNames: ['kind'], buckets: firstByteBuckets, registers,
  });
  const config = new Gauge({
    name: 'verbenashunt_gateway_config_version', help: 'Version of the configuration in force.', registers,
  });
  const configAge = new Gauge({
    name: 'verbenashunt_gateway_config_age_seconds', help: 'Time since the store was known to have no newer configuration, by its own clock.', registers,
  });
  const rowsNotUnderstood = new Counter({
    name: 'verbenashunt_gateway_rows_not_understood_total', help: 'Rows of the store that were ignored as they are not valid, by table.', labelNames: ['table'], registers,
  });
  const targets = new Gauge({
    name: 'verbenashunt_gateway_targets', help: 'Targets known, by service.', labelNames: ['service'], registers,
  });
  const invalidHeaders = new Counter({
    name: 'verbenashunt_gateway_invalid_headers_total', help: 'Headers of the store and of targets that were ignored, by name.', labelNames: ['header'], registers,
  });
  const crashes = new Counter({
    name: 'verbenashunt_gateway_target_crashes_total', help: 'Crashes of targets with requests, by whether this entry saw them or read of them in the row of another entry.', labelNames: ['seen_by'], registers,
  });
  const crashingParts = new Gauge({
    name: 'verbenashunt_gateway_crashing_parts', help: 'Parts of prompts that crash targets; requests with them are refused.', registers,
  });
  const limitedTargets = new Gauge({
    name: 'verbenashunt_gateway_limited_targets', help: 'Targets that limit the rate of their requests.', registers,
  });
  const loadBytes = new Counter({
    name: 'verbenashunt_gateway_load_bytes_total', help: 'Bytes of the loads exchanged with other entries, without HTTP headers, by direction.', labelNames: ['direction'], registers,
  });
  const droppedLoads = new Counter({
    name: 'verbenashunt_gateway_dropped_loads_total', help: 'Loads of other entries that were dropped, by reason.', labelNames: ['reason'], registers,
  });
  const waiting = new Gauge({
    name: 'verbenashunt_gateway_waiting_requests', help: 'Requests that wait for targets with capacity, by service and priority.', labelNames: ['service', 'priority'], registers,
  });
  const waits = new Histogram({
    name: 'verbenashunt_gateway_wait_seconds', help: 'Time in the queue of requests that could not start at once, by priority.', labelNames: ['priority'], buckets: waitBuckets, registers,
  });
  const queueRefusals = new Counter({
    name: 'verbenashunt_gateway_queue_refusals_total', help: 'Requests refused by the queue, by priority and reason: waited, predicted, evicted, deadline.', labelNames: ['priority', 'reason'], registers,
  });
  const turns = new Histogram({
    name: 'verbenashunt_gateway_event_loop_turn_seconds', help: 'Duration of the turns of the event loop in which the gateway worked.', buckets: turnBuckets, registers,
  });
  const longTurns = new Counter({
    name: 'verbenashunt_gateway_long_turns_total', help: 'Turns of the event loop of 10 ms or more, by the work that took most of their time.', labelNames: ['cause'], registers,
  });
  const loadEntries = new Gauge({
    name: 'verbenashunt_gateway_load_entries', help: 'Other entries whose loads are in the sums in use; 0 without sums of the last 1.5 s.', registers,
  });
  const loadAge = new Gauge({
    name: 'verbenashunt_gateway_load_age_seconds', help: 'Age of the oldest load in the last sums over the other entries.', registers,
  });
  const retries = new Gauge({
    name: 'verbenashunt_gateway_window_retries', help: 'Retries in the window of the retry budget, by service and whether they were made, denied or allowed.', labelNames: ['service', 'state'], registers,
  });
  const organisations = new Set<string>();

  function labelOf(organisation: string | undefined): string {
    if (organisation === undefined) return noOrganisationLabel;
    if (organisations.size < maxOrganisations) organisations.add(organisation);
    return organisations.has(organisation) ? organisation : otherOrganisationsLabel;
  }

  return {
    registry,
    config,
    configAge,
    /** Counts a row that was ignored because it is not valid. */
    rowNotUnderstood: (table: string) => rowsNotUnderstood.inc({ table }),
    targets,
    crashingParts,
    limitedTargets,
    waiting,
    /** Records the duration of a turn of the event loop. */
    turnEnded: (ms: number) => turns.observe(ms / millisecondsPerSecond),
    longTurn: (cause: string) => longTurns.inc({ cause }),
    loadEntries,
    loadAge,
    retries,
    /** Counts a header that was ignored because its value is invalid. */
    invalidHeader: (header: string) => invalidHeaders.inc({ header }),
    /** Counts a crash of a target that this entry saw itself, or read of in another's row. */
    crashSeen: (by: 'self' | 'other') => crashes.inc({ seen_by: by }),
    /** Counts a request that was refused before it had a route kind. */
    refused: (outcome: string) => requests.inc({ kind: 'none', outcome }),
    loads: {
      exchanged(sentBytes, receivedBytes) {
        loadBytes.inc({ direction: 'sent' }, sentBytes);
        loadBytes.inc({ direction: 'received' }, receivedBytes);
      },
      received: (bytes) => loadBytes.inc({ direction: 'received' }, bytes),
      dropped: (reason) => droppedLoads.inc({ reason }),
    } satisfies LoadMetrics,
    ofRequest({ kind, organisation, priority }: {
      kind: RequestKind; organisation: string | undefined; priority: Priority;
    }): RequestMetrics {
      return {
        requestEnded(outcome) {
          requests.inc({ kind, outcome });
          byOrganisation.inc({ organisation: labelOf(organisation), outcome });
        },
        attemptFailed: (end) => attempts.inc({ end }),
        attemptHeldBack: () => heldBack.inc(),
        firstByteSent: (ms) => firstByte.observe({ kind }, ms / millisecondsPerSecond),
        waited: (ms) => waits.observe({ priority }, ms / millisecondsPerSecond),
        queueRefused: (reason) => queueRefusals.inc({ priority, reason }),
        unframedStreamEnded: (verdict) => unframedStreams.inc({ verdict }),
      };
    },
  };
}

export type GatewayMetrics = ReturnType<typeof createGatewayMetrics>;
