/** Admission of an entry: its queues, routing and restarts of requests that found no capacity. */
import { expect, test } from 'vitest';
import { createConfigHolder, createRefusal, ManualClock } from '@verbenashunt/core';
import { createEntryAdmission, type GenerationSink, type GenerationSpec } from '@verbenashunt/entry';

const spec = {
  req: 'r1', org: 'org', cls: 'chat', model: 'm', version: 'v1', layers: 4, prompt: [1, 2], parts: [], maxTokens: 8, priority: 5, deadline: 10_000,
} satisfies GenerationSpec;

function createTestAdmission(refusedStarts: number) {
  const clock = new ManualClock();
  const started: string[] = [];
  const outcomes: string[] = [];
  let hasCapacity = true;
  const admission = createEntryAdmission({
    clock,
    config: createConfigHolder(() => {}),
    maxQueue: 10,
    otherEntries: () => [],
    routing: {
      chooseChain: () => undefined,
      chooseStage: () => undefined,
      chooseTarget: () => undefined,
      recordEnd() {},
      canStartGeneration: () => hasCapacity,
      canStartCall: () => hasCapacity,
    },
    startGeneration(startedSpec, sink) {
      started.push(startedSpec.req);
      if (started.length <= refusedStarts) sink.refuse(createRefusal('overloaded'));
      else sink.end('stop');
      return {
        receive() {}, onAgentLost() {}, onAgentResumed() {}, cancel() {},
      };
    },
    startCall() {
      throw createRefusal('internal');
    },
  });
  const sink: GenerationSink = {
    token() {},
    end: (reason) => outcomes.push(reason),
    refuse: ({ code }) => outcomes.push(code),
  };
  return {
    clock,
    started,
    outcomes,
    admission,
    generate: () => admission.generate(spec, sink),
    setCapacity(value: boolean) {
      hasCapacity = value;
    },
  };
}

test('each start of a request uses another id', () => {
  const {
    clock, started, outcomes, generate,
  } = createTestAdmission(2);
  generate();
  clock.advance(200);
  expect(started).toEqual(['r1', 'r1.1', 'r1.2']);
  expect(outcomes).toEqual(['stop']);
});

test('a request that repeatedly finds no capacity is refused before its deadline', () => {
  const { clock, outcomes, generate } = createTestAdmission(100);
  generate();
  clock.advance(1000);
  expect(outcomes).toEqual(['overloaded']);
});

test('a cancelled request is removed from the queue', () => {
  const {
    clock, started, admission, generate, setCapacity: setRoom,
  } = createTestAdmission(0);
  setRoom(false);
  const run = generate();
  expect(admission.queued).toBe(1);
  run.cancel();
  setRoom(true);
  clock.advance(200);
  expect(admission.queued).toBe(0);
  expect(started).toEqual([]);
});

test('a request that was queued again can be cancelled', () => {
  const {
    clock, started, admission, generate, setCapacity: setRoom,
  } = createTestAdmission(1);
  const run = generate();
  setRoom(false);
  run.cancel();
  setRoom(true);
  clock.advance(200);
  expect(admission.queued).toBe(0);
  expect(started).toEqual(['r1']);
});

test('a request waits for capacity and starts once there is some', () => {
  const {
    clock, started, outcomes, generate, setCapacity: setRoom,
  } = createTestAdmission(0);
  setRoom(false);
  generate();
  clock.advance(100);
  expect(started).toEqual([]);
  setRoom(true);
  clock.advance(100);
  expect(outcomes).toEqual(['stop']);
});
