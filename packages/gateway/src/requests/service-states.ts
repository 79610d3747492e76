/** What an entry keeps for each service beside its targets. */
import {
  createRetryWindow, type Clock, type RetryLimits, type RetryWindow,
} from '@verbenashunt/core';
import { createResumeQueue, type ResumeQueue } from './resume-queue.js';

export interface ServiceState {
  /** Budget for repeats. */
  retries: RetryWindow;
  /** Begun streams that look for a chain again. */
  resumes: ResumeQueue;
}

export interface ServiceStatesOptions {
  clock: Clock;
  /** Limits in force; settings may change them. */
  limits(): RetryLimits;
  /** Entries that share the budget. */
  entries(): number;
}

/** Returns the function that gives a service's state; made when it is first asked for. */
export function createServiceStates({ clock, limits, entries }: ServiceStatesOptions) {
  const states = new Map<string, ServiceState>();
  return function stateOf(service: string): ServiceState {
    const known = states.get(service);
    if (known) return known;
    const created = {
      retries: createRetryWindow({ clock, limits, entries }),
      resumes: createResumeQueue(clock),
    };
    states.set(service, created);
    return created;
  };
}
