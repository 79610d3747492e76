/**
 * One generation: offers a chain, starts it when all stages accepted, delivers each token once
 * and in order, and goes on with another chain when a stage is lost.
 */
import {
  createRefusal, type Chain, type CancelTimer, type Clock, type Refusal, type RefusalCode,
} from '@verbenashunt/core';
import type { Offer } from '@verbenashunt/schema';
import type { AgentPeer } from '../peers/agents.js';
import type { RequestRun } from './registry.js';

const offerTimeoutMs = 1000;
const maxAttempts = 5;

export interface GenerationSpec {
  req: string;
  org: string;
  cls: string;
  model: string;
  version: string;
  layers: number;
  prompt: number[];
  maxTokens: number;
  priority: number;
  /** Monotonic milliseconds. */
  deadline: number;
}

export interface GenerationSink {
  token(token: number): void;
  end(reason: 'stop' | 'length'): void;
  refuse(refusal: Refusal): void;
}

export interface GenerationDeps {
  clock: Clock;
  entry: string;
  revision(): number;
  /** Chooses a chain that avoids the nodes given. */
  choose(spec: GenerationSpec, avoid: ReadonlySet<string>): Chain | undefined;
  agent(node: string): AgentPeer | undefined;
  /** The generation is over; no further frame will be heard. */
  closed(): void;
}

export type Generation = RequestRun;

interface Attempt {
  number: number;
  nodes: string[];
  accepted: Set<string>;
  started: boolean;
  /** Tokens received in this attempt. */
  received: number;
  cancelTimer: CancelTimer;
}

export function createGeneration(
  spec: GenerationSpec,
  sink: GenerationSink,
  deps: GenerationDeps,
): Generation {
  const delivered: number[] = [];
  const avoid = new Set<string>();
  let attempt: Attempt | undefined;
  let attempts = 0;
  let ran = false;
  let over = false;

  const timeLeft = () => spec.deadline - deps.clock.now();

  /** Fences the attempt on all of its stages, which also frees them. */
  function release() {
    if (!attempt) return;
    const { nodes, number } = attempt;
    attempt.cancelTimer();
    attempt = undefined;
    nodes.map(deps.agent).forEach((peer) => {
      if (!peer) return;
      Object.assign(peer, { own: Math.max(0, peer.own - 1) });
      peer.send({ t: 'cancel', req: spec.req, attempt: number });
    });
  }

  function close() {
    release();
    over = true;
    deps.closed();
  }

  function refuse(code: RefusalCode) {
    close();
    sink.refuse(createRefusal(ran ? 'interrupted' : code, {
      ...(delivered.length > 0 ? { detail: `after ${delivered.length} tokens` } : {}),
    }));
  }

  function offerOf(peers: AgentPeer[], chain: Chain, index: number, number: number): Offer {
    const next = peers[(index + 1) % peers.length]!;
    const { lo, hi } = chain.stages[index]!;
    return {
      t: 'offer',
      req: spec.req,
      attempt: number,
      incarnation: peers[index]!.incarnation,
      revision: deps.revision(),
      org: spec.org,
      cls: spec.cls,
      model: spec.model,
      version: spec.version,
      range: { lo, hi },
      index,
      stages: peers.length,
      next: {
        node: next.node, host: next.host, port: next.port, incarnation: next.incarnation,
      },
      entry: deps.entry,
      timeLeftMs: Math.max(0, timeLeft()),
      priority: spec.priority,
      maxTokens: spec.maxTokens - delivered.length,
      promptTokens: spec.prompt.length + delivered.length,
    };
  }

  /* eslint-disable @typescript-eslint/no-use-before-define -- a failure begins the next try */
  function retry(code: RefusalCode, blamed: string | undefined) {
    release();
    if (blamed) avoid.add(blamed);
    if (attempts >= maxAttempts) refuse(code);
    else begin(code);
  }
  /* eslint-enable @typescript-eslint/no-use-before-define */

  function silent(current: Attempt) {
    if (attempt !== current) return;
    const blamed = current.nodes.find((node) => !current.accepted.has(node));
    retry('no_chain', blamed);
  }

  function begin(code: RefusalCode) {
    if (timeLeft() <= 0) {
      refuse('deadline');
      return;
    }
    const chain = deps.choose(spec, avoid);
    const peers = chain?.stages.map(({ node }) => deps.agent(node)) ?? [];
    const present = peers.filter((peer) => peer !== undefined);
    if (!chain || present.length < peers.length) {
      refuse(code);
      return;
    }
    const number = attempts;
    attempts += 1;
    const current: Attempt = {
      number,
      nodes: present.map(({ node }) => node),
      accepted: new Set(),
      started: false,
      received: 0,
      cancelTimer: deps.clock.after(offerTimeoutMs, () => silent(current)),
    };
    attempt = current;
    present.forEach((peer, index) => {
      Object.assign(peer, { own: peer.own + 1 });
      peer.send(offerOf(present, chain, index, number));
    });
  }

  function accepted(current: Attempt, node: string) {
    current.accepted.add(node);
    if (current.started || current.accepted.size < current.nodes.length) return;
    current.cancelTimer();
    Object.assign(current, { started: true });
    ran = true;
    deps.agent(current.nodes[0]!)?.send({
      t: 'start', req: spec.req, attempt: current.number, tokens: [...spec.prompt, ...delivered],
    });
  }

  function token(current: Attempt, seq: number, value: number) {
    if (seq < current.received) return;
    if (seq > current.received) {
      retry('interrupted', undefined);
      return;
    }
    Object.assign(current, { received: seq + 1 });
    delivered.push(value);
    sink.token(value);
  }

  function ended(current: Attempt, count: number, reason: 'stop' | 'length') {
    if (count !== current.received) {
      retry('interrupted', undefined);
      return;
    }
    close();
    sink.end(reason);
  }

  begin('no_chain');
  return {
    receive(node, message) {
      if (over || !attempt || !('attempt' in message) || message.attempt !== attempt.number) return;
      const last = attempt.nodes.at(-1);
      if (message.t === 'accept') accepted(attempt, node);
      else if (message.t === 'refuse') retry(message.code === 'busy' ? 'overloaded' : 'no_chain', node);
      else if (message.t === 'token' && node === last) token(attempt, message.seq, message.token);
      else if (message.t === 'end' && node === last) ended(attempt, message.count, message.reason);
      else if (message.t === 'fail') retry('interrupted', message.node ?? node);
    },
    lost(node) {
      if (!over && attempt?.nodes.includes(node)) retry('interrupted', node);
    },
    resumed() {},
    cancel() {
      if (!over) close();
    },
  };
}
