/** One request of the model: its chain, its tokens, its recovery. */
import type {
  Chain, ChainStage, Clock, FleetModel,
} from '@verbenashunt/core';
import type { PendingOp } from '../../engine/batcher.js';
import type { ModelAgent } from './agents.js';
import type { RequestStream } from './spec.js';

export interface RequestHooks {
  clock: Clock;
  agent(name: string): ModelAgent;
  linkMs(from: ModelAgent | undefined, to: ModelAgent | undefined): number;
  /** Chooses a chain that avoids targets. */
  choose(avoid: ReadonlySet<string>): Chain | undefined;
  /** The entry counts or stops counting the request on targets. */
  hold(stages: readonly ChainStage[], change: 1 | -1): void;
  /** The same for targets that have accepted it. */
  accepted(stages: readonly ChainStage[], change: 1 | -1): void;
  /** An agent answered an offer with its load. */
  heard(agent: ModelAgent): void;
  token(request: ModelRequest, at: number): void;
  end(request: ModelRequest): void;
  /** No chain took the request; it did not run. */
  notStarted(request: ModelRequest): void;
  interrupted(request: ModelRequest): void;
  /** Time of an operation on a target, to and fro, as the chain saw it. */
  observed(agent: ModelAgent, msPerLayer: number): void;
}

export interface ModelRequest {
  id: string;
  stream: RequestStream;
  model: FleetModel;
  priority: number;
  answerTokens: number;
  arrivedAt: number;
  delivered: number;
  firstAt: number;
  lastAt: number;
  lost: boolean;
}

export interface ModelRun {
  begin(): void;
  /** The entry noticed the death of a target. */
  lost(name: string): void;
}

const maxAttempts = 5;

export function createModelRun(request: ModelRequest, hooks: RequestHooks): ModelRun {
  const { clock } = hooks;
  const avoid = new Set<string>();
  let attempt = 0;
  let tries = 0;
  let stages: ChainStage[] = [];
  let agents: ModelAgent[] = [];
  let lives: number[] = [];
  let accepted = false;
  let over = false;

  function release() {
    hooks.hold(stages, -1);
    if (accepted) hooks.accepted(stages, -1);
    accepted = false;
    agents.forEach((agent) => {
      if (agent.held.get(request.id) === attempt) agent.held.delete(request.id);
    });
    stages = [];
    agents = [];
  }

  /* eslint-disable @typescript-eslint/no-use-before-define -- a token begins the next round */
  /** Runs one stage's operations of an attempt, again and again. */
  function createStep(index: number, current: number) {
    const agent = agents[index]!;
    const life = lives[index]!;
    const next = index + 1 < agents.length ? agents[index + 1] : undefined;
    const { lo, hi } = stages[index]!;
    const op: PendingOp['op'] = {
      op: 'run', seq: request.id, lo, hi, priority: request.priority,
    };
    const { delivered } = request;
    const promptLength = request.stream.promptTokens + delivered;
    const prefill = { ...op, tokens: Array.from({ length: promptLength }, () => 0) };
    const onwardMs = next ? hooks.linkMs(agent, next) : hooks.linkMs(agent, agents[0]);
    const entryMs = hooks.linkMs(agent, undefined);
    let addedAt = 0;
    let decoding = false;

    function done() {
      if (over || attempt !== current || agent.life !== life) return;
      if (decoding) {
        const perLayer = (clock.now() - addedAt) / (hi - lo);
        hooks.observed(agent, perLayer + onwardMs / (hi - lo));
      }
      decoding = true;
      if (next) {
        clock.after(onwardMs, () => steps[index + 1]!());
        return;
      }
      hooks.token(request, clock.now() + entryMs);
      if (request.delivered >= request.answerTokens) finish();
      else clock.after(onwardMs, () => steps[0]!());
    }

    const decodeOp: PendingOp = { op, cachedTokens: 0, done };
    const prefillOp: PendingOp = { op: prefill, cachedTokens: 0, done };
    return () => {
      if (over || attempt !== current) return;
      addedAt = clock.now();
      agent.engine.add(decoding ? decodeOp : prefillOp);
    };
  }

  let steps: (() => void)[] = [];

  function finish() {
    over = true;
    const last = agents;
    release();
    last.forEach(hooks.heard);
    hooks.end(request);
  }

  function refuse() {
    over = true;
    release();
    if (request.delivered > 0) hooks.interrupted(request);
    else hooks.notStarted(request);
  }

  /** Offers reach every agent; all must accept. */
  function offer(current: number) {
    if (attempt !== current || over) return;
    const refusing = agents.filter((agent) => !agent.engine.alive || agent.draining
      || agent.held.size >= agent.limit);
    agents.forEach(hooks.heard);
    if (refusing.length > 0) {
      refusing.forEach((agent) => avoid.add(agent.target.name));
      release();
      begin();
      return;
    }
    agents.forEach((agent) => agent.held.set(request.id, current));
    accepted = true;
    hooks.accepted(stages, 1);
    steps = agents.map((_, index) => createStep(index, current));
    clock.after(hooks.linkMs(undefined, agents[0]), () => steps[0]!());
  }

  function begin() {
    tries += 1;
    const chain = tries > maxAttempts ? undefined : hooks.choose(avoid);
    if (!chain) {
      refuse();
      return;
    }
    attempt += 1;
    const current = attempt;
    ({ stages } = chain);
    agents = stages.map(({ node }) => hooks.agent(node));
    lives = agents.map(({ life }) => life);
    hooks.hold(stages, 1);
    const slowest = Math.max(...agents.map((agent) => hooks.linkMs(undefined, agent)));
    clock.after(slowest * 2, () => offer(current));
  }
  /* eslint-enable @typescript-eslint/no-use-before-define */

  return {
    begin,
    lost(name) {
      if (over || !stages.some(({ node }) => node === name)) return;
      avoid.add(name);
      tries = 0;
      Object.assign(request, { lost: true });
      release();
      begin();
    },
  };
}
