/** Inputs of a simulation run, and the link latencies of the model. */
import type { Fleet, FleetTarget, PlannedPin } from '@verbenashunt/core';
import type { ChainPolicy } from './policies.js';

/** Requests of one organisation and class for one model, with Poisson arrivals. */
export interface RequestStream {
  org: string;
  /** Weight of the organisation in fair sharing. */
  weight: number;
  /** Name of the request class. */
  cls: string;
  model: string;
  requestsPerSecond: number;
  promptTokens: number;
  /** Mean length of an answer. */
  answerTokens: number;
  /** Longest time from arrival until the request must have started, in milliseconds. */
  deadlineMs: number;
}

/** A fault, drain or recovery at a point in virtual time. */
export interface ModelFault {
  atMs: number;
  apply(injector: FaultInjector): void;
}

/** Operations on the simulated targets that a fault may apply. */
export interface FaultInjector {
  /** Crashes a target; entries learn of it after `detectionMs`. */
  kill(name: string, detectionMs: number): void;
  /** Makes entries stop choosing the target; requests that run there continue. */
  drain(name: string): void;
  /** Ends a crash or a drain; entries learn of it at once. */
  restore(name: string): void;
  /** Sets the factor on the time of each batch of the target; 1 is normal. */
  slow(name: string, factor: number): void;
  /** Sets the factor on the latency of every link to and from a target; 1 is normal. */
  degradeLinks(name: string, factor: number): void;
}

export interface ModelRunSpec {
  seed: number;
  fleet: Fleet;
  pins: readonly PlannedPin[];
  /** Number of entries; they are distributed over the zones of the fleet. */
  entries: number;
  /** Creates the policy of one entry. */
  policy(random: () => number): ChainPolicy;
  streams: readonly RequestStream[];
  /** Limit of concurrent requests that a target's agent enforces. */
  limitOf(target: FleetTarget): number;
  /** Caps the concurrency of a target at this many full batches; core's default when absent. */
  maxBatchesPerTarget?: number;
  /** Interval between load reports, and so their maximum age, in milliseconds. */
  reportMs: number;
  /** Milliseconds from the start with a raised arrival rate, which loads the fleet sooner. */
  rampMs: number;
  /** Milliseconds from the start until the measurement begins. */
  warmUpMs: number;
  /** Length of the measurement in milliseconds. */
  durationMs: number;
  /** Admission refuses requests whose expected wait is longer, in milliseconds. */
  maxWaitMs: number;
  faults?: readonly ModelFault[];
  /** Reserved for choices by slowness observed in live traffic; the model ignores it. */
  watchLinks?: boolean;
}

/** One-way link latencies within a zone, between zones and between regions. */
export const sameZoneLinkMs = 0.1;
export const crossZoneLinkMs = 0.25;
export const crossRegionLinkMs = 25;

export interface Location {
  zone: string;
  region: string;
}

export function linkMsBetween(a: Location, b: Location): number {
  if (a.region !== b.region) return crossRegionLinkMs;
  return a.zone === b.zone ? sameZoneLinkMs : crossZoneLinkMs;
}
