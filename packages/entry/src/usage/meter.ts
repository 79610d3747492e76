/** Creates one usage record for each request, at its first outcome. */
import { sha256, type Clock } from '@verbenashunt/core';
import type { UsageRecord } from '@verbenashunt/schema';
import type { GenerationSink, GenerationSpec } from '../requests/generation.js';
import type { RequestRun } from '../requests/registry.js';
import type { ServiceCallSink, ServiceCallSpec } from '../requests/service-call.js';

export interface UsageMeter {
  generation(
    spec: GenerationSpec,
    sink: GenerationSink,
    start: (sink: GenerationSink) => RequestRun,
  ): RequestRun;
  call(
    spec: ServiceCallSpec,
    sink: ServiceCallSink,
    start: (sink: ServiceCallSink) => RequestRun,
  ): RequestRun;
}

/** Usage id of a call: the same for all calls of an organisation with one Idempotency-Key. */
const usageIdOf = ({ req, org, key }: ServiceCallSpec) => (
  key === undefined ? req : `call-${sha256(`${org}\n${key}`)}`);

export function createUsageMeter(clock: Clock, add: (record: UsageRecord) => void): UsageMeter {
  /** Returns a function that records the first outcome it is called with and ignores others. */
  function recordOnce(createRecord: () => Omit<UsageRecord, 'at' | 'outcome'>) {
    let recorded = false;
    return (outcome: string) => {
      if (recorded) return;
      recorded = true;
      add({ ...createRecord(), at: Math.round(clock.wall()), outcome });
    };
  }

  const withCancelRecorded = (run: RequestRun, finish: (outcome: string) => void): RequestRun => ({
    ...run,
    cancel() {
      finish('cancelled');
      run.cancel();
    },
  });

  return {
    generation(spec, sink, start) {
      let tokens = 0;
      const finish = recordOnce(() => ({
        id: spec.req,
        org: spec.org,
        cls: spec.cls,
        model: spec.model,
        promptTokens: spec.prompt.length,
        tokens,
      }));
      return withCancelRecorded(start({
        ...sink,
        token(token) {
          tokens += 1;
          sink.token(token);
        },
        end(reason) {
          finish('completed');
          sink.end(reason);
        },
        refuse(refusal) {
          finish(refusal.code);
          sink.refuse(refusal);
        },
      }), finish);
    },
    call(spec, sink, start) {
      const finish = recordOnce(() => ({
        id: usageIdOf(spec), org: spec.org, cls: spec.cls, model: '', promptTokens: 0, tokens: 0,
      }));
      return withCancelRecorded(start({
        ...sink,
        result(result) {
          finish('completed');
          sink.result(result);
        },
        refuse(refusal) {
          finish(refusal.code);
          sink.refuse(refusal);
        },
      }), finish);
    },
  };
}
