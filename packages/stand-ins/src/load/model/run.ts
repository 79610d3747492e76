/** Simulates a fleet in virtual time: entries with stale load reports, agents, engines, faults. */
import { createModelAgent } from './agents.js';
import { createModelEntry } from './entries.js';
import { createEventLoop } from './event-loop.js';
import { createRandom, exponential } from './random.js';
import { createRecorder, type RunResult } from './results.js';
import type { ModelRunSpec, FaultInjector, RequestStream } from './spec.js';

/** Arrival rate during the ramp relative to the rate after it. */
const rampFactor = 8;

/** Requests of the ramp stand in for ones already in progress, so they have no prompt to run. */
const withoutPrefill = (stream: RequestStream): RequestStream => ({ ...stream, promptTokens: 1 });

export function runModel(spec: ModelRunSpec): RunResult {
  const loop = createEventLoop();
  const random = createRandom(spec.seed);
  const endMs = spec.warmUpMs + spec.durationMs;
  const recorder = createRecorder(spec.warmUpMs, endMs);
  const targets = new Map(spec.fleet.targets.map((target) => [target.name, target]));
  const agents = new Map(spec.pins.map(({ target: name, pin }) => {
    const target = targets.get(name)!;
    return [name, createModelAgent(target, pin, spec.limitOf(target), loop)] as const;
  }));
  const locations = [...new Map(spec.fleet.targets
    .map(({ zone, region }) => [zone, { zone, region }])).values()];
  const entries = Array.from({ length: spec.entries }, (_, i) => createModelEntry({
    clock: loop,
    location: locations[i % locations.length]!,
    fleet: spec.fleet,
    agents,
    policy: spec.policy(createRandom(spec.seed * 1000 + i)),
    recorder,
    spec,
  }));
  const policy = spec.policy(random).name;

  /** Sends the load of all agents to the entries, now and at each report interval. */
  function reportLoads() {
    const loads = new Map([...agents].map(([name, { held, limit }]) => [
      name, { active: held.size, limit },
    ]));
    recorder.loadSpread([...agents.values()].map(({ held, limit }) => held.size / limit));
    entries.forEach((entry) => entry.report(loads));
    loop.after(spec.reportMs, reportLoads);
  }
  reportLoads();

  let nextId = 0;
  /** Schedules the next arrival of the stream, which schedules the one after it. */
  function scheduleArrival(stream: RequestStream) {
    const ramping = loop.now() < spec.rampMs;
    const perSecond = stream.requestsPerSecond * (ramping ? rampFactor : 1);
    loop.after(exponential(random, 1000 / perSecond), () => {
      nextId += 1;
      const entry = entries[Math.floor(random() * entries.length)]!;
      const lengthFactor = (0.5 + random()) * (ramping ? random() : 1);
      const answerTokens = Math.max(2, Math.round(stream.answerTokens * lengthFactor));
      entry.arrive(`r${nextId}`, ramping ? withoutPrefill(stream) : stream, answerTokens);
      scheduleArrival(stream);
    });
  }
  spec.streams.forEach(scheduleArrival);

  const injector: FaultInjector = {
    kill(name, detectionMs) {
      const agent = agents.get(name)!;
      agent.engine.kill();
      agent.incarnation += 1;
      agent.held.clear();
      loop.after(detectionMs, () => entries.forEach((entry) => entry.targetStateChanged(name, 'dead')));
    },
    drain(name) {
      agents.get(name)!.draining = true;
      entries.forEach((entry) => entry.targetStateChanged(name, 'leaving'));
    },
    restore(name) {
      const agent = agents.get(name)!;
      agent.engine.restart();
      agent.draining = false;
      entries.forEach((entry) => entry.targetStateChanged(name, 'back'));
    },
    slow: (name, factor) => agents.get(name)!.engine.slow(factor),
    degradeLinks(name, factor) {
      agents.get(name)!.linkFactor = factor;
    },
  };
  (spec.faults ?? []).forEach(({ atMs, apply }) => loop.after(atMs, () => apply(injector)));
  loop.runUntil(endMs);
  return recorder.result(policy);
}
