/** A simulated request: offers it to chains, generates its tokens and recovers lost stages. */
import type {
  Chain, ChainStage, Clock, FleetModel,
} from '@verbenashunt/core';
import type { PendingOp } from '../../engine/batcher.js';
import type { ModelAgent } from './agents.js';
import type { RequestStream } from './spec.js';

export interface RequestHooks {
  clock: Clock;
  /** Agent of the target with this name. */
  agent(name: string): ModelAgent;
  /** One-way latency in milliseconds; undefined is the entry. */
  linkMs(from: ModelAgent | undefined, to: ModelAgent | undefined): number;
  /** Chooses a chain without the targets in `avoid`. */
  choose(avoid: ReadonlySet<string>): Chain | undefined;
  /** Changes the entry's count of its own requests at each target of the stages. */
  countActive(stages: readonly ChainStage[], change: 1 | -1): void;
  /** Changes the entry's count of its own requests that each target has accepted. */
  countAccepted(stages: readonly ChainStage[], change: 1 | -1): void;
  /** The entry receives an agent's load: with an answer to an offer, or with the last token. */
  loadReceived(agent: ModelAgent): void;
  /** A token reaches the entry at the given time. */
  token(request: ModelRequest, at: number): void;
  /** The answer is complete. */
  end(request: ModelRequest): void;
  /** No chain accepted the request, and no token was delivered. */
  notStarted(request: ModelRequest): void;
  /** No chain accepted the rest of an answer that had begun. */
  interrupted(request: ModelRequest): void;
  /** A decode took this time per layer, in the engine and on the link after it. */
  observed(agent: ModelAgent, msPerLayer: number): void;
}

export interface ModelRequest {
  id: string;
  stream: RequestStream;
  model: FleetModel;
  priority: number;
  answerTokens: number;
  arrivedAt: number;
  /** Tokens delivered to the entry. */
  delivered: number;
  firstAt: number;
  lastAt: number;
  /** Whether a target was lost since the last token. */
  recovering: boolean;
}

export interface ModelRun {
  begin(): void;
  /** The entry detected the crash of a target. */
  targetLost(name: string): void;
}

/** Attempts from the start, or from the last loss of a target, until the request fails. */
const maxAttempts = 5;

export function createModelRun(request: ModelRequest, hooks: RequestHooks): ModelRun {
  const { clock } = hooks;
  const avoid = new Set<string>();
  /** Number of the current attempt; callbacks of earlier ones do nothing. */
  let attempt = 0;
  let attemptsSinceLoss = 0;
  let stages: ChainStage[] = [];
  let agents: ModelAgent[] = [];
  let incarnations: number[] = [];
  let accepted = false;
  let ended = false;

  /** Ends the current attempt at its targets. */
  function release() {
    hooks.countActive(stages, -1);
    if (accepted) hooks.countAccepted(stages, -1);
    accepted = false;
    agents.forEach((agent) => {
      if (agent.held.get(request.id) === attempt) agent.held.delete(request.id);
    });
    stages = [];
    agents = [];
  }

  /* eslint-disable @typescript-eslint/no-use-before-define -- mutual recursion */
  /** Creates the function that submits a stage's next operation: the prefill, then decodes. */
  function createStageStep(index: number, stepAttempt: number) {
    const agent = agents[index]!;
    const incarnation = incarnations[index]!;
    const nextAgent = index + 1 < agents.length ? agents[index + 1] : undefined;
    const { lo, hi } = stages[index]!;
    const op: PendingOp['op'] = {
      op: 'run', seq: request.id, lo, hi, priority: request.priority,
    };
    const { delivered } = request;
    const promptLength = request.stream.promptTokens + delivered;
    const prefill = { ...op, tokens: Array.from({ length: promptLength }, () => 0) };
    const onwardMs = nextAgent ? hooks.linkMs(agent, nextAgent) : hooks.linkMs(agent, agents[0]);
    const entryMs = hooks.linkMs(agent, undefined);
    let addedAt = 0;
    let decoding = false;

    function done() {
      if (ended || attempt !== stepAttempt || agent.incarnation !== incarnation) return;
      if (decoding) {
        const engineMsPerLayer = (clock.now() - addedAt) / (hi - lo);
        hooks.observed(agent, engineMsPerLayer + onwardMs / (hi - lo));
      }
      decoding = true;
      if (nextAgent) {
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
      if (ended || attempt !== stepAttempt) return;
      addedAt = clock.now();
      agent.engine.add(decoding ? decodeOp : prefillOp);
    };
  }

  let steps: (() => void)[] = [];

  function finish() {
    ended = true;
    const servingAgents = agents;
    release();
    servingAgents.forEach(hooks.loadReceived);
    hooks.end(request);
  }

  function endWithoutChain() {
    ended = true;
    release();
    if (request.delivered > 0) hooks.interrupted(request);
    else hooks.notStarted(request);
  }

  /** Offers the request to every agent of the chain; it starts if all of them accept. */
  function offer(offerAttempt: number) {
    if (attempt !== offerAttempt || ended) return;
    const refusing = agents.filter((agent) => !agent.engine.alive || agent.draining
      || agent.held.size >= agent.limit);
    agents.forEach(hooks.loadReceived);
    if (refusing.length > 0) {
      refusing.forEach((agent) => avoid.add(agent.target.name));
      release();
      begin();
      return;
    }
    agents.forEach((agent) => agent.held.set(request.id, offerAttempt));
    accepted = true;
    hooks.countAccepted(stages, 1);
    steps = agents.map((_, index) => createStageStep(index, offerAttempt));
    clock.after(hooks.linkMs(undefined, agents[0]), () => steps[0]!());
  }

  function begin() {
    attemptsSinceLoss += 1;
    const chain = attemptsSinceLoss > maxAttempts ? undefined : hooks.choose(avoid);
    if (!chain) {
      endWithoutChain();
      return;
    }
    attempt += 1;
    const offerAttempt = attempt;
    ({ stages } = chain);
    agents = stages.map(({ node }) => hooks.agent(node));
    incarnations = agents.map(({ incarnation }) => incarnation);
    hooks.countActive(stages, 1);
    const slowestLinkMs = Math.max(...agents.map((agent) => hooks.linkMs(undefined, agent)));
    clock.after(slowestLinkMs * 2, () => offer(offerAttempt));
  }
  /* eslint-enable @typescript-eslint/no-use-before-define */

  return {
    begin,
    targetLost(name) {
      if (ended || !stages.some(({ node }) => node === name)) return;
      avoid.add(name);
      attemptsSinceLoss = 0;
      Object.assign(request, { recovering: true });
      release();
      begin();
    },
  };
}
