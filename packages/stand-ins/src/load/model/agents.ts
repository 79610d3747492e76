/** Agents and their engines in the model. */
import {
  createConcurrencyGrant, grantIntervalMs, type Clock, type FleetTarget, type LayerAssignment,
} from '@verbenashunt/core';
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
  observe(msPerLayer: number): void;
}

export function createModelAgent(
  target: FleetTarget,
  pin: LayerAssignment,
  initialLimit: number,
  clock: Clock,
): ModelAgent {
  const grant = createConcurrencyGrant({ initial: initialLimit, min: 8, max: 4096 });
  const held = new Map<string, number>();

  function adjust() {
    grant.adjust(held.size);
    clock.after(grantIntervalMs, adjust);
  }
  clock.after(grantIntervalMs, adjust);

  return {
    target,
    pin,
    engine: createModelEngine(target, clock),
    held,
    draining: false,
    linkFactor: 1,
    life: 0,
    get limit() {
      return grant.limit;
    },
    observe: grant.observe,
  };
}
