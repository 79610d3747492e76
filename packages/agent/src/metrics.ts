/** Prometheus metrics of an agent. */
import { Counter, Gauge, Registry } from 'prom-client';
import type { StageEvent } from './stages/stage-table.js';

export interface AgentMetrics {
  registry: Registry;
  countStageEvent(event: StageEvent): void;
  countProtocolError(): void;
  setActive(value: number): void;
  setServing(value: boolean): void;
  setRevision(value: number): void;
}

export function createAgentMetrics(): AgentMetrics {
  const registry = new Registry();
  const registers = [registry];
  const stages = new Counter({
    name: 'verbenashunt_agent_stage_events_total', help: 'Events of stages by kind.', labelNames: ['event'], registers,
  });
  const errors = new Counter({
    name: 'verbenashunt_protocol_errors_total', help: 'Connections closed for bytes that are no message.', registers,
  });
  const active = new Gauge({
    name: 'verbenashunt_agent_active', help: 'Requests held now.', registers,
  });
  const serving = new Gauge({
    name: 'verbenashunt_agent_serving', help: 'One while the target serves.', registers,
  });
  const revision = new Gauge({
    name: 'verbenashunt_config_revision', help: 'Revision in force.', registers,
  });
  return {
    registry,
    countStageEvent: (event) => stages.inc({ event }),
    countProtocolError: () => errors.inc(),
    setActive: (value) => active.set(value),
    setServing: (value) => serving.set(value ? 1 : 0),
    setRevision: (value) => revision.set(value),
  };
}
