/** Per-service state of an entry, apart from the service's targets. */
import {
  createRetryWindow, type RetryWindow, type RetryWindowOptions,
} from '@verbenashunt/core';
import { createResumeQueue, type ResumeQueue } from './resume-queue.js';
import { createStartQueue, type StartQueue, type StartQueueLimits } from './start-queue.js';

export interface ServiceState {
  /** Retry budget. */
  retries: RetryWindow;
  /** Queue of requests that no target has accepted yet. */
  startQueue: StartQueue;
  /** Queue of partly delivered streams that wait for a new chain. */
  resumeQueue: ResumeQueue;
}

export interface ServiceStatesOptions extends RetryWindowOptions {
  /** Limits of the queue of each service. */
  queue: StartQueueLimits;
}

export interface ServiceStates {
  /** The state of a service; created on first use. */
  of(service: string): ServiceState;
  /** Names and states of all services that have had requests. */
  entries(): Iterable<[string, ServiceState]>;
}

export function createServiceStates(options: ServiceStatesOptions): ServiceStates {
  const { clock } = options;
  const states = new Map<string, ServiceState>();

  function create(): ServiceState {
    const state: ServiceState = {
      retries: createRetryWindow(options),
      startQueue: createStartQueue({
        clock, ...options.queue, isResuming: () => state.resumeQueue.isActive,
      }),
      resumeQueue: createResumeQueue(clock, () => state.startQueue.dispatch()),
    };
    return state;
  }

  return {
    of(service) {
      const state = states.get(service) ?? create();
      states.set(service, state);
      return state;
    },
    entries: () => states.entries(),
  };
}
