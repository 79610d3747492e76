/** Counters of peer links and process stalls, for a daemon's metrics registry. */
import { Counter, type Registry } from 'prom-client';
import { errorCode } from '@verbenashunt/core';
import type { LinkEvent } from './dial.js';

export interface PeerMetrics {
  linkEvent(event: LinkEvent, err?: Error): void;
  /** Counts the error, if any, that closed an incoming connection. */
  connectionClosed(err: Error | undefined): void;
  /** Adds a period in which this process did not run, in milliseconds. */
  stalled(ms: number): void;
}

export function createPeerMetrics(registry: Registry): PeerMetrics {
  const registers = [registry];
  const linkEvents = new Counter({
    name: 'verbenashunt_peer_link_events_total', help: 'Changes of links to peers: up, suspect, resumed, lost, refused.', labelNames: ['event'], registers,
  });
  const errors = new Counter({
    name: 'verbenashunt_peer_errors_total', help: 'Connections of peers closed for an error, by its code.', labelNames: ['code'], registers,
  });
  const stalls = new Counter({
    name: 'verbenashunt_stalled_seconds_total', help: 'Time in which this process did not run although it should have.', registers,
  });

  function connectionClosed(err: Error | undefined) {
    if (err) errors.inc({ code: errorCode(err) });
  }

  return {
    linkEvent(event, err) {
      linkEvents.inc({ event });
      connectionClosed(err);
    },
    connectionClosed,
    stalled: (ms) => stalls.inc(ms / 1000),
  };
}
