/** Counters of links between processes, for the registry of a daemon. */
import { Counter, type Registry } from 'prom-client';
import { errorCode } from '@verbenashunt/core';
import type { LinkEvent } from './dial.js';

export interface PeerMetrics {
  link(event: LinkEvent, err?: Error): void;
  /** A connection that the peer had dialled was closed for this error. */
  closed(err: Error | undefined): void;
  stalled(ms: number): void;
}

export function createPeerMetrics(registry: Registry): PeerMetrics {
  const registers = [registry];
  const links = new Counter({
    name: 'verbenashunt_peer_link_events_total', help: 'Changes of links to peers: up, suspect, resumed, lost, refused.', labelNames: ['event'], registers,
  });
  const errors = new Counter({
    name: 'verbenashunt_peer_errors_total', help: 'Connections of peers closed for an error, by its code.', labelNames: ['code'], registers,
  });
  const stalls = new Counter({
    name: 'verbenashunt_stalled_seconds_total', help: 'Time in which this process did not run although it should have.', registers,
  });

  function closed(err: Error | undefined) {
    if (err) errors.inc({ code: errorCode(err) });
  }

  return {
    link(event, err) {
      links.inc({ event });
      closed(err);
    },
    closed,
    stalled: (ms) => stalls.inc(ms / 1000),
  };
}
