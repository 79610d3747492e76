/** What a run of the model is given. */
import type { Fleet, FleetTarget, PlannedPin } from '@verbenashunt/core';
import type { ChainPolicy } from './policies.js';

/** Requests of one organisation and class, arriving at random. */
export interface RequestStream {
  org: string;
  /** Weight of the organisation. */
  weight: number;
  cls: string;
  model: string;
  requestsPerSecond: number;
  promptTokens: number;
  answerTokens: number;
  /** Time that a caller waits for the start, in milliseconds. */
  deadlineMs: number;
}

/** A change of the run's world at a time. */
export interface ModelFault {
  atMs: number;
  apply(world: ModelWorld): void;
}

/** What faults can do. */
export interface ModelWorld {
  /** Kills a target; entries learn of it after `noticeMs`. */
  kill(name: string, noticeMs: number): void;
  /** Entries stop choosing the target; what runs there goes on. */
  drain(name: string): void;
  restore(name: string): void;
  slow(name: string, factor: number): void;
  /** Multiplies the time of every link to and from a target. */
  degradeLinks(name: string, factor: number): void;
}

export interface ModelRunSpec {
  seed: number;
  fleet: Fleet;
  pins: readonly PlannedPin[];
  entries: number;
  policy(random: () => number): ChainPolicy;
  streams: readonly RequestStream[];
  /** Concurrent requests that a target's agent admits. */
  limitOf(target: FleetTarget): number;
  /** Full batches that may be at a target at once. */
  depth?: number;
  /** Time between load reports, which is also how stale they get, in milliseconds. */
  reportMs: number;
  /** Time at the start in which the fleet is filled, in milliseconds. */
  rampMs: number;
  warmUpMs: number;
  durationMs: number;
  /** Longest wait that admission promises, in milliseconds. */
  maxWaitMs: number;
  faults?: readonly ModelFault[];
  /** Whether choices use slowness seen in passing traffic. */
  watchLinks?: boolean;
}

/** One-way milliseconds within a zone, between zones and between regions. */
export const zoneLinkMs = 0.1;
export const crossZoneLinkMs = 0.25;
export const crossRegionLinkMs = 25;

export interface Place {
  zone: string;
  region: string;
}

export function placeLinkMs(a: Place, b: Place): number {
  if (a.region !== b.region) return crossRegionLinkMs;
  return a.zone === b.zone ? zoneLinkMs : crossZoneLinkMs;
}
