/** Per-service state of an entry, apart from the service's targets. */
import {
  createRetryWindow, type Clock, type RetryLimits, type RetryWindow,
} from '@verbenashunt/core';
import { createResumeQueue, type ResumeQueue } from './resume-queue.js';

export interface ServiceState {
  /** Retry budget. */
  retries: RetryWindow;
  /** Queue of partly delivered streams that wait for a new chain. */
  resumeQueue: ResumeQueue;
}

export interface ServiceStatesOptions {
  clock: Clock;
  /** Returns the current limits; settings may change them at run time. */
  limits(): RetryLimits;
  /** Returns the number of entries that share the retry budget. */
  entries(): number;
}

/** Returns a function that looks up the state of a service and creates it on first use. */
export function createServiceStates({ clock, limits, entries }: ServiceStatesOptions) {
  const states = new Map<string, ServiceState>();
  return function stateOf(service: string): ServiceState {
    const known = states.get(service);
    if (known) return known;
    const created = {
      retries: createRetryWindow({ clock, limits, entries }),
      resumeQueue: createResumeQueue(clock),
    };
    states.set(service, created);
    return created;
  };
}
