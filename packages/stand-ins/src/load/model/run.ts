/** Runs a fleet in virtual time: entries with stale views, agents, engines and faults. */
import { createModelAgent } from './agents.js';
import { createModelEntry } from './entries.js';
import { createEventLoop } from './event-loop.js';
import { createRandom, exponential } from './random.js';
import { createRecorder, type RunResult } from './results.js';
import type { ModelRunSpec, ModelWorld, RequestStream } from './spec.js';

/** Arrivals during the ramp as a multiple of those after it. */
const rampFactor = 8;

/** Requests of the ramp stand for those under way: their prompts have run already. */
const underWay = (stream: RequestStream): RequestStream => ({ ...stream, promptTokens: 1 });

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
  const places = [...new Map(spec.fleet.targets
    .map(({ zone, region }) => [zone, { zone, region }])).values()];
  const entries = Array.from({ length: spec.entries }, (_, i) => createModelEntry({
    clock: loop,
    place: places[i % places.length]!,
    fleet: spec.fleet,
    agents,
    policy: spec.policy(createRandom(spec.seed * 1000 + i)),
    recorder,
    spec,
  }));
  const policy = spec.policy(random).name;

  /** Load reports reach the entries at an interval; between them the view is stale. */
  function report() {
    const loads = new Map([...agents].map(([name, { held, limit }]) => [
      name, { active: held.size, limit },
    ]));
    recorder.spread([...agents.values()].map(({ held, limit }) => held.size / limit));
    entries.forEach((entry) => entry.report(loads));
    loop.after(spec.reportMs, report);
  }
  report();

  let nextId = 0;
  function arrivals(stream: RequestStream) {
    const ramping = loop.now() < spec.rampMs;
    const perSecond = stream.requestsPerSecond * (ramping ? rampFactor : 1);
    loop.after(exponential(random, 1000 / perSecond), () => {
      nextId += 1;
      const entry = entries[Math.floor(random() * entries.length)]!;
      const spreadOfLength = (0.5 + random()) * (ramping ? random() : 1);
      const answerTokens = Math.max(2, Math.round(stream.answerTokens * spreadOfLength));
      entry.arrive(`r${nextId}`, ramping ? underWay(stream) : stream, answerTokens);
      arrivals(stream);
    });
  }
  spec.streams.forEach(arrivals);

  const world: ModelWorld = {
    kill(name, noticeMs) {
      const agent = agents.get(name)!;
      agent.engine.kill();
      agent.life += 1;
      agent.held.clear();
      loop.after(noticeMs, () => entries.forEach((entry) => entry.notice(name, 'dead')));
    },
    drain(name) {
      agents.get(name)!.draining = true;
      entries.forEach((entry) => entry.notice(name, 'leaving'));
    },
    restore(name) {
      const agent = agents.get(name)!;
      agent.engine.restart();
      agent.draining = false;
      entries.forEach((entry) => entry.notice(name, 'back'));
    },
    slow: (name, factor) => agents.get(name)!.engine.slow(factor),
    degradeLinks(name, factor) {
      agents.get(name)!.linkFactor = factor;
    },
  };
  (spec.faults ?? []).forEach(({ atMs, apply }) => loop.after(atMs, () => apply(world)));
  loop.runUntil(endMs);
  return recorder.result(policy);
}
