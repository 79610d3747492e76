/** A call to a service. */
import type {
  ServiceCall, ServiceCallDeps, ServiceCallSink, ServiceCallSpec,
} from './call-spec.js';
import { createAtMostOnceCall } from './at-most-once-call.js';
import { createRepeatableCall } from './repeatable-call.js';

export type * from './call-spec.js';

/** Starts a call; one with an idempotency key runs at most once. */
export const createServiceCall = (
  spec: ServiceCallSpec,
  sink: ServiceCallSink,
  deps: ServiceCallDeps,
): ServiceCall => (spec.key === undefined
  ? createRepeatableCall(spec, sink, deps)
  : createAtMostOnceCall(spec, spec.key, sink, deps));
