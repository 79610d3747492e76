/** An entry of the model: its view of the agents, its admission and its choice. */
import {
  classOfChat, correctedActive, createAdmission, draftClass, generationCost,
  hasFreeChain, limitConcurrency, type AdmissionWork, type Clock, type Fleet, type StageCandidate,
} from '@verbenashunt/core';
import type { ModelAgent } from './agents.js';
import type { ChainPolicy } from './policies.js';
import { createModelRun, type ModelRequest, type ModelRun } from './request.js';
import type { Recorder } from './results.js';
import {
  placeLinkMs, type ModelRunSpec, type Place, type RequestStream,
} from './spec.js';

interface View {
  agent: ModelAgent;
  candidate: StageCandidate;
  reported: number;
  /** Requests of this entry that the agent had accepted when it reported. */
  ownAtReport: number;
  accepted: number;
  own: number;
}

export interface ModelEntry {
  arrive(id: string, stream: RequestStream, answerTokens: number): void;
  /** Load of every agent as it was when the report was made. */
  report(loads: ReadonlyMap<string, { active: number; limit: number }>): void;
  /** The entry noticed that a target died, leaves or is back. */
  notice(name: string, state: 'dead' | 'leaving' | 'back'): void;
}

export interface EntryDeps {
  clock: Clock;
  place: Place;
  fleet: Fleet;
  agents: ReadonlyMap<string, ModelAgent>;
  policy: ChainPolicy;
  recorder: Recorder;
  spec: ModelRunSpec;
}

const drainMs = 20;
const maxQueue = 2000;

export function createModelEntry(deps: EntryDeps): ModelEntry {
  const {
    clock, recorder, spec, place, policy,
  } = deps;
  const views = new Map<string, View>();
  const absent = new Set<string>();
  const runs = new Set<ModelRun>();
  deps.agents.forEach((agent, name) => views.set(name, {
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
    reported: 0,
    ownAtReport: 0,
    accepted: 0,
    own: 0,
  }));

  function refresh(view: View) {
    Object.assign(view.candidate, {
      active: correctedActive(view.reported, view.ownAtReport, view.own),
    });
  }

  function hear(name: string, load: { active: number; limit: number }) {
    const view = views.get(name)!;
    Object.assign(view, { reported: load.active, ownAtReport: view.accepted });
    Object.assign(view.candidate, { limit: load.limit });
    refresh(view);
  }

  const modelOf = (name: string) => deps.fleet.models.find((m) => m.name === name)!;

  function candidates(model: string, fill: number, avoid?: ReadonlySet<string>) {
    const able = [...views].filter(([name, { agent }]) => agent.pin.model === model
      && !absent.has(name) && !avoid?.has(name));
    const limited = limitConcurrency(
      able.map(([, { candidate }]) => candidate),
      modelOf(model).layers,
      spec.depth,
    );
    return fill === 1 ? limited : limited.map((candidate) => ({
      ...candidate, limit: Math.max(1, Math.floor(candidate.limit * fill)),
    }));
  }

  function linkMs(from: ModelAgent | undefined, to: ModelAgent | undefined) {
    const factor = Math.max(from?.linkFactor ?? 1, to?.linkFactor ?? 1);
    return placeLinkMs(from?.target ?? place, to?.target ?? place) * factor;
  }

  const fillOf = (stream: RequestStream) => (stream.cls === draftClass.name
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
        candidates(stream.model, fillOf(stream)),
      );
    },
  });

  function poll() {
    admission.dispatch();
    clock.after(drainMs, poll);
  }
  clock.after(drainMs, poll);

  function token(request: ModelRequest, at: number) {
    Object.assign(request, { delivered: request.delivered + 1 });
    recorder.token(request.stream.org, at);
    if (request.delivered === 1) {
      recorder.firstToken(request.stream.cls, at - request.arrivedAt, at);
    } else {
      recorder.gap(at - request.lastAt, at);
      if (request.lost) recorder.recovery(at - request.lastAt);
    }
    Object.assign(request, { lastAt: at, lost: false });
  }

  function start(request: ModelRequest, again: () => void) {
    const { stream, model } = request;
    const fill = fillOf(stream);
    const run = createModelRun(request, {
      clock,
      agent: (name) => deps.agents.get(name)!,
      linkMs,
      choose: (avoid) => policy.choose({
        layers: model.layers,
        candidates: candidates(stream.model, fill, avoid),
        linkMs: (from, to) => placeLinkMs(from ?? place, to),
        size: { promptTokens: stream.promptTokens, answerTokens: stream.answerTokens },
      }),
      hold: (stages, change) => stages.forEach(({ node }) => {
        const view = views.get(node)!;
        Object.assign(view, { own: view.own + change });
        refresh(view);
      }),
      accepted: (stages, change) => stages.forEach(({ node }) => {
        const view = views.get(node)!;
        Object.assign(view, { accepted: view.accepted + change });
      }),
      heard: (agent) => hear(agent.target.name, { active: agent.held.size, limit: agent.limit }),
      token,
      end(done) {
        runs.delete(run);
        recorder.completed(done.lastAt);
        admission.dispatch();
      },
      notStarted() {
        runs.delete(run);
        again();
      },
      interrupted(done) {
        runs.delete(run);
        recorder.interrupted(done.stream.org, done.delivered);
      },
      observed() {},
    });
    runs.add(run);
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
        lost: false,
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
      loads.forEach((load, name) => hear(name, load));
    },
    notice(name, state) {
      if (state === 'back') absent.delete(name);
      else absent.add(name);
      if (state === 'dead') [...runs].forEach((run) => run.lost(name));
    },
  };
}
