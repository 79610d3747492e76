/** One call to a plain service. */
import type {
  ServiceCall, ServiceCallDeps, ServiceCallSink, ServiceCallSpec,
} from './call-spec.js';
import { createOnceCall } from './once-call.js';
import { createRepeatableCall } from './repeatable-call.js';

export type * from './call-spec.js';

/** Starts a call in the way that its declaration asks for. */
export const createServiceCall = (
  spec: ServiceCallSpec,
  sink: ServiceCallSink,
  deps: ServiceCallDeps,
): ServiceCall => (spec.key === undefined
  ? createRepeatableCall(spec, sink, deps)
  : createOnceCall(spec, spec.key, sink, deps));
