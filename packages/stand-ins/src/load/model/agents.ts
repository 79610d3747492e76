/** A simulated agent with its engine. */
import type { Clock, FleetTarget, LayerAssignment } from '@verbenashunt/core';
import { createModelEngine, type ModelEngine } from './engine.js';

export interface ModelAgent {
  target: FleetTarget;
  pin: LayerAssignment;
  engine: ModelEngine;
  /** Accepted requests by id, each with the number of its attempt. */
  held: Map<string, number>;
  draining: boolean;
  /** Factor on the latency of its links. */
  linkFactor: number;
  /** Concurrent requests that it accepts. */
  readonly limit: number;
  /** Number of crashes so far; operations of an earlier incarnation are lost. */
  incarnation: number;
}

export function createModelAgent(
  target: FleetTarget,
  pin: LayerAssignment,
  limit: number,
  clock: Clock,
): ModelAgent {
  const held = new Map<string, number>();
  return {
    target,
    pin,
    engine: createModelEngine(target, clock),
    held,
    draining: false,
    linkFactor: 1,
    incarnation: 0,
    limit,
  };
}
