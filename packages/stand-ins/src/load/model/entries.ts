/** A simulated entry: its view of the agents' load, its admission and its choice of chains. */
import {
  classOfChat, correctedActive, createAdmission, draftClass, generationCost,
  hasFreeChain, limitConcurrency, type AdmissionWork, type Clock, type Fleet, type StageCandidate,
} from '@verbenashunt/core';
import type { ModelAgent } from './agents.js';
import type { ChainPolicy } from './policies.js';
import { createModelRun, type ModelRequest, type ModelRun } from './request.js';
import type { Recorder } from './results.js';
import {
  linkMsBetween, type ModelRunSpec, type Location, type RequestStream,
} from './spec.js';

/** An agent as an entry knows it; `own` requests are those of this entry. */
interface AgentView {
  agent: ModelAgent;
  candidate: StageCandidate;
  /** Active requests of all entries in the agent's latest load report. */
  reportedActive: number;
  /** Own requests that the agent had accepted at that report. */
  ownAtReport: number;
  /** Own requests that the agent has accepted by now. */
  accepted: number;
  /** Own requests at the agent or on offer to it. */
  own: number;
}

export interface ModelEntry {
  arrive(id: string, stream: RequestStream, answerTokens: number): void;
  /** Receives the load of every agent. */
  report(loads: ReadonlyMap<string, { active: number; limit: number }>): void;
  /** The entry learns that a target crashed, drains or is available again. */
  targetStateChanged(name: string, state: 'dead' | 'leaving' | 'back'): void;
}

export interface ModelEntryOptions {
  clock: Clock;
  location: Location;
  fleet: Fleet;
  agents: ReadonlyMap<string, ModelAgent>;
  policy: ChainPolicy;
  recorder: Recorder;
  spec: ModelRunSpec;
}

/** Interval at which admission retries queued requests; it also does so after each answer. */
const dispatchIntervalMs = 20;
const maxQueue = 2000;

export function createModelEntry(options: ModelEntryOptions): ModelEntry {
  const {
    clock, recorder, spec, location, policy,
  } = options;
  const views = new Map<string, AgentView>();
  const unavailable = new Set<string>();
  const activeRuns = new Set<ModelRun>();
  options.agents.forEach((agent, name) => views.set(name, {
    agent,
    candidate: {
      node: name,
      zone: agent.target.zone,
      region: agent.target.region,
      lo: agent.pin.lo,
      hi: agent.pin.hi,
      layerMs: agent.target.layerMs,
      prefillMs: agent.target.prefillMs,
      active: 0,
      limit: agent.limit,
    },
    reportedActive: 0,
    ownAtReport: 0,
    accepted: 0,
    own: 0,
  }));

  /** Corrects the reported load by own requests that started or ended after the report. */
  function correctActive(view: AgentView) {
    Object.assign(view.candidate, {
      active: correctedActive(view.reportedActive, view.ownAtReport, view.own),
    });
  }

  function updateLoad(name: string, load: { active: number; limit: number }) {
    const view = views.get(name)!;
    Object.assign(view, { reportedActive: load.active, ownAtReport: view.accepted });
    Object.assign(view.candidate, { limit: load.limit });
    correctActive(view);
  }

  const modelOf = (name: string) => options.fleet.models.find((m) => m.name === name)!;

  function candidates(model: string, concurrencyShare: number, avoid?: ReadonlySet<string>) {
    const eligible = [...views].filter(([name, { agent }]) => agent.pin.model === model
      && !unavailable.has(name) && !avoid?.has(name));
    const limited = limitConcurrency(
      eligible.map(([, { candidate }]) => candidate),
      modelOf(model).layers,
      spec.maxBatchesPerTarget,
    );
    return concurrencyShare === 1 ? limited : limited.map((candidate) => ({
      ...candidate, limit: Math.max(1, Math.floor(candidate.limit * concurrencyShare)),
    }));
  }

  function linkMs(from: ModelAgent | undefined, to: ModelAgent | undefined) {
    const factor = Math.max(from?.linkFactor ?? 1, to?.linkFactor ?? 1);
    return linkMsBetween(from?.target ?? location, to?.target ?? location) * factor;
  }

  /** Share of a target's limit that the request class may use. */
  const concurrencyShareOf = (stream: RequestStream) => (stream.cls === draftClass.name
    ? draftClass.concurrencyShare
    : 1);

  const admission = createAdmission({
    now: clock.now,
    maxQueue,
    maxWaitMs: spec.maxWaitMs,
    canStart(work) {
      const { stream } = work as AdmissionWork & { stream: RequestStream };
      return hasFreeChain(
        modelOf(stream.model).layers,
        candidates(stream.model, concurrencyShareOf(stream)),
      );
    },
  });

  function dispatchPeriodically() {
    admission.dispatch();
    clock.after(dispatchIntervalMs, dispatchPeriodically);
  }
  clock.after(dispatchIntervalMs, dispatchPeriodically);

  function recordToken(request: ModelRequest, at: number) {
    Object.assign(request, { delivered: request.delivered + 1 });
    recorder.token(request.stream.org, at);
    if (request.delivered === 1) {
      recorder.firstToken(request.stream.cls, at - request.arrivedAt, at);
    } else {
      recorder.gap(at - request.lastAt, at);
      if (request.recovering) recorder.recovery(at - request.lastAt);
    }
    Object.assign(request, { lastAt: at, recovering: false });
  }

  function start(request: ModelRequest, requeue: () => void) {
    const { stream, model } = request;
    const concurrencyShare = concurrencyShareOf(stream);
    const run = createModelRun(request, {
      clock,
      agent: (name) => options.agents.get(name)!,
      linkMs,
      choose: (avoid) => policy.choose({
        layers: model.layers,
        candidates: candidates(stream.model, concurrencyShare, avoid),
        linkMs: (from, to) => linkMsBetween(from ?? location, to),
        size: { promptTokens: stream.promptTokens, answerTokens: stream.answerTokens },
      }),
      countActive: (stages, change) => stages.forEach(({ node }) => {
        const view = views.get(node)!;
        Object.assign(view, { own: view.own + change });
        correctActive(view);
      }),
      countAccepted: (stages, change) => stages.forEach(({ node }) => {
        const view = views.get(node)!;
        Object.assign(view, { accepted: view.accepted + change });
      }),
      loadReceived: (agent) => updateLoad(agent.target.name, {
        active: agent.held.size, limit: agent.limit,
      }),
      token: recordToken,
      end(endedRequest) {
        activeRuns.delete(run);
        recorder.completed(endedRequest.lastAt);
        admission.dispatch();
      },
      notStarted() {
        activeRuns.delete(run);
        requeue();
      },
      interrupted(endedRequest) {
        activeRuns.delete(run);
        recorder.interrupted(endedRequest.stream.org, endedRequest.delivered);
      },
      observed() {},
    });
    activeRuns.add(run);
    run.begin();
  }

  return {
    arrive(id, stream, answerTokens) {
      const arrivedAt = clock.now();
      const request: ModelRequest = {
        id,
        stream,
        model: modelOf(stream.model),
        priority: stream.cls === draftClass.name ? draftClass.priority : classOfChat(1).priority,
        answerTokens,
        arrivedAt,
        delivered: 0,
        firstAt: 0,
        lastAt: 0,
        recovering: false,
      };
      const work: AdmissionWork & { stream: RequestStream } = {
        org: stream.org,
        weight: stream.weight,
        stream,
        priority: request.priority,
        deadline: arrivedAt + stream.deadlineMs,
        cost: generationCost(stream.promptTokens, stream.answerTokens),
        start: () => start(request, () => admission.requeue(work)),
        refuse: ({ code, retryAfterMs }) => recorder
          .refused(stream.org, code, retryAfterMs, clock.now()),
      };
      admission.submit(work);
    },
    report(loads) {
      loads.forEach((load, name) => updateLoad(name, load));
    },
    targetStateChanged(name, state) {
      if (state === 'back') unavailable.delete(name);
      else unavailable.add(name);
      if (state === 'dead') [...activeRuns].forEach((run) => run.targetLost(name));
    },
  };
}
