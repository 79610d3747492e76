/** Agents and their engines in the model. */
import type { Clock, FleetTarget, LayerAssignment } from '@verbenashunt/core';
import { createModelEngine, type ModelEngine } from './engine.js';

export interface ModelAgent {
  target: FleetTarget;
  pin: LayerAssignment;
  engine: ModelEngine;
  /** Requests held, each with the number of its attempt. */
  held: Map<string, number>;
  draining: boolean;
  /** Factor on its links. */
  linkFactor: number;
  readonly limit: number;
  /** Grows at each death, as an incarnation does. */
  life: number;
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
    life: 0,
    limit,
  };
}
